#pragma once

#include <memory>
#include <vector>

namespace lavendertally::framework {
class IMetrics;
class IStateDumper;
} // namespace lavendertally::framework

namespace lavendertally::http {
class IHttpExchange;
}

namespace lavendertally::pipeline {
class IRequestService;
}

namespace lavendertally::frontend {

class IHttpApi;

/// Creates the HTTP APIs of daemons. The arguments outlive the created objects.
class FrontendModule
{
public:
    /// API for requests of callers: `/v1/requests`.
    static std::unique_ptr<IHttpApi> makeCallerApi(pipeline::IRequestService &requests,
                                                   framework::IMetrics &metrics);

    /// API for monitoring: `/metrics`, `/dump` (the state of the daemon as JSON) and `/healthz`.
    static std::unique_ptr<IHttpApi> makeObservabilityApi(framework::IMetrics &metrics,
                                                          framework::IStateDumper &dumper);

    /// Passes an exchange to the first of \p apis that handles it; replies 404 if none does.
    static void dispatch(const std::vector<std::unique_ptr<IHttpApi>> &apis,
                         const std::shared_ptr<http::IHttpExchange> &exchange);
};

} // namespace lavendertally::frontend
