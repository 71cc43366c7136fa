#pragma once

#include "framework/types/endpoint.h"

#include <memory>

namespace lavendertally::http {
class IHttpClient;
}

namespace lavendertally::backends {

class IBackendServerFactory;

/// Entry point of the backends module: creates the factory for backend server clients.
class BackendsModule
{
public:
    /// Creates a factory whose clients talk to \p endpoint over HTTP.
    /// \param client must outlive the factory and every backend server client it creates
    /// \param endpoint address of the backend server
    static std::unique_ptr<IBackendServerFactory> makeFactory(http::IHttpClient &client,
                                                              const framework::Endpoint &endpoint);
};

} // namespace lavendertally::backends
