#pragma once

#include "framework/types/endpoint.h"

#include <memory>

namespace lavendertally::http {
class IHttpClient;
}

namespace lavendertally::backends {

class IBackendServerFactory;

/// Makes clients of backend servers.
class BackendsModule
{
public:
    /// \param client outlives the factory and what it makes
    /// \param endpoint address of the backend server
    static std::unique_ptr<IBackendServerFactory> makeFactory(http::IHttpClient &client,
                                                              const framework::Endpoint &endpoint);
};

} // namespace lavendertally::backends
