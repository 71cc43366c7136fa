#pragma once

#include <memory>

namespace lavendertally::framework {
struct Endpoint;
}

namespace lavendertally::http {
class IHttpClient;
}

namespace lavendertally::infrastructure {

class IHostList;
class ILogService;

/// Makes clients of the platform's services. Destroying a client silences its callbacks.
class InfrastructureModule
{
public:
    /// \param client outlives the returned object
    static std::unique_ptr<ILogService> makeLogService(http::IHttpClient &client,
                                                       const framework::Endpoint &endpoint);
    /// \param client outlives the returned object
    static std::unique_ptr<IHostList> makeHostList(http::IHttpClient &client,
                                                   const framework::Endpoint &endpoint);
};

} // namespace lavendertally::infrastructure
