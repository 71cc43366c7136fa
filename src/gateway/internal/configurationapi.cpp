#include "gateway/internal/configurationapi.h"

#include "http/ihttpexchange.h"
#include "platform/activeconfigurationcodec.h"
#include "serving/iservingstate.h"

namespace lavendertally::gateway {

namespace {

constexpr int HttpOk = 200;
constexpr int HttpMethodNotAllowed = 405;
constexpr int HttpServiceUnavailable = 503;

} // namespace

ConfigurationApi::ConfigurationApi(const serving::IServingState &serving) : m_serving(serving) { }

bool ConfigurationApi::handle(const std::shared_ptr<http::IHttpExchange> &exchange)
{
    if (exchange->path() != "/configuration") {
        return false;
    }
    if (exchange->method() != http::HttpMethod::Get) {
        exchange->reply(HttpMethodNotAllowed, "text/plain", "read-only\n");
        return true;
    }
    const auto configuration = m_serving.configuration();
    if (configuration == nullptr) {
        exchange->reply(HttpServiceUnavailable, "text/plain", "no configuration yet\n");
        return true;
    }
    exchange->reply(HttpOk, "application/json",
                    platform::encodeActiveConfiguration(*configuration));
    return true;
}

} // namespace lavendertally::gateway
