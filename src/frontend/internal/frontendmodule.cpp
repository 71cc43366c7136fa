#include "frontend/frontendmodule.h"

#include "frontend/internal/callerapi.h"
#include "frontend/internal/observabilityapi.h"
#include "http/ihttpexchange.h"

namespace lavendertally::frontend {

namespace {

constexpr int HttpNotFound = 404;

} // namespace

std::unique_ptr<IHttpApi> FrontendModule::makeCallerApi(pipeline::IRequestService &requests,
                                                        framework::IMetrics &metrics)
{
    return std::make_unique<CallerApi>(requests, metrics);
}

std::unique_ptr<IHttpApi> FrontendModule::makeObservabilityApi(framework::IMetrics &metrics,
                                                               framework::IStateDumper &dumper)
{
    return std::make_unique<ObservabilityApi>(metrics, dumper);
}

void FrontendModule::dispatch(const std::vector<std::unique_ptr<IHttpApi>> &apis,
                              const std::shared_ptr<http::IHttpExchange> &exchange)
{
    for (const std::unique_ptr<IHttpApi> &api : apis) {
        if (api->handle(exchange)) {
            return;
        }
    }
    exchange->reply(HttpNotFound, "application/json",
                    R"({"error":{"code":"not_found","message":"no such path"}})");
}

} // namespace lavendertally::frontend
