#include "frontend/internal/observabilityapi.h"

#include "framework/imetrics.h"
#include "framework/istatedumper.h"
#include "http/ihttpexchange.h"

#include <nlohmann/json.hpp>

namespace lavendertally::frontend {

namespace {

constexpr int HttpOk = 200;
constexpr int DumpIndent = 2;

} // namespace

ObservabilityApi::ObservabilityApi(framework::IMetrics &metrics, framework::IStateDumper &dumper)
    : m_metrics(metrics), m_dumper(dumper)
{ }

bool ObservabilityApi::handle(const std::shared_ptr<http::IHttpExchange> &exchange)
{
    if (exchange->path() == "/metrics") {
        exchange->reply(HttpOk, "text/plain; version=0.0.4", m_metrics.prometheusText());
        return true;
    }
    if (exchange->path() == "/dump") {
        const std::string body = m_dumper.dumpState().dump(
            DumpIndent, ' ', false, nlohmann::json::error_handler_t::replace);
        exchange->reply(HttpOk, "application/json", body);
        return true;
    }
    if (exchange->path() == "/healthz") {
        exchange->reply(HttpOk, "text/plain", "ok\n");
        return true;
    }
    return false;
}

} // namespace lavendertally::frontend
