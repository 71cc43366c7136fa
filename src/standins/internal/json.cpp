#include "standins/internal/json.h"

#include "http/ihttpexchange.h"
#include "standins/internal/httpstatus.h"

namespace lavendertally::standins {

void replyJson(http::IHttpExchange &exchange, int status, const nlohmann::json &body)
{
    exchange.reply(status, "application/json",
                   body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void replyError(http::IHttpExchange &exchange, int status, const std::string &code)
{
    replyJson(exchange, status, {{"error", {{"code", code}}}});
}

std::optional<nlohmann::json> readObject(http::IHttpExchange &exchange)
{
    auto body = nlohmann::json::parse(exchange.body(), nullptr, false);
    if (!body.is_object()) {
        replyError(exchange, HttpStatus::BadRequest, "malformed");
        return std::nullopt;
    }
    return body;
}

std::string textMember(const nlohmann::json &object, const std::string &key)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_string()) {
        return {};
    }
    return found->get<std::string>();
}

std::uint64_t numberMember(const nlohmann::json &object, const std::string &key,
                           std::uint64_t fallback)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_number_unsigned()) {
        return fallback;
    }
    return found->get<std::uint64_t>();
}

} // namespace lavendertally::standins
