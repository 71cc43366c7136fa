#pragma once

#include "configuration/types/servicekind.h"
#include "framework/types/endpoint.h"
#include "framework/types/ids.h"

#include <memory>

namespace lavendertally::http {
class IHttpClient;
}

namespace lavendertally::backends {

class IBackendServer;

/// Makes clients of backend servers.
class BackendsModule
{
public:
    /// \param model model to ask for; only engines need it
    static std::unique_ptr<IBackendServer> makeBackendServer(http::IHttpClient &client,
                                                             const framework::Endpoint &endpoint,
                                                             configuration::ServiceKind kind,
                                                             const framework::ModelId &model);
};

} // namespace lavendertally::backends
