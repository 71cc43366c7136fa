#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace lavendertally::http {
class IHttpExchange;
}

namespace lavendertally::standins {

/// Answers with a JSON body.
void replyJson(http::IHttpExchange &exchange, int status, const nlohmann::json &body);

/// Answers with `{"error":{"code":CODE}}`.
void replyError(http::IHttpExchange &exchange, int status, const std::string &code);

/// \return the body as a JSON object; nothing, after a 400 answer, if it is none
std::optional<nlohmann::json> readObject(http::IHttpExchange &exchange);

/// \return value of a text member; empty if it is absent or of another type
std::string textMember(const nlohmann::json &object, const std::string &key);

/// \return value of an unsigned member, or the fallback if it is absent or of another type
std::uint64_t numberMember(const nlohmann::json &object, const std::string &key,
                           std::uint64_t fallback);

} // namespace lavendertally::standins
