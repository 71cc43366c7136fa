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

/// Makes the HTTP interfaces of daemons. The arguments outlive what is made.
class FrontendModule
{
public:
    /// Requests of callers: `/v1/requests`.
    static std::unique_ptr<IHttpApi> makeCallerApi(pipeline::IRequestService &requests,
                                                   framework::IMetrics &metrics);

    /// `/metrics`, `/dump` and `/healthz`.
    static std::unique_ptr<IHttpApi> makeObservabilityApi(framework::IMetrics &metrics,
                                                          framework::IStateDumper &dumper);

    /// Hands an exchange to the first of \p apis that takes it, or answers 404.
    static void dispatch(const std::vector<std::unique_ptr<IHttpApi>> &apis,
                         const std::shared_ptr<http::IHttpExchange> &exchange);
};

} // namespace lavendertally::frontend
