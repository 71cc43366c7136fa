#pragma once

#include "configuration/types/servicekind.h"
#include "framework/types/ids.h"

#include <memory>

namespace lavendertally::backends {

class IBackendServer;

/// Creates the client of the backend server attached to this process. The client can only be
/// created once the configuration gives the service kind.
class IBackendServerFactory
{
public:
    virtual ~IBackendServerFactory() = default;

    /// Creates a client that uses the request and response format of \p kind.
    /// \param model model name sent with each request; used only by ServiceKind::Generate
    virtual std::unique_ptr<IBackendServer> makeBackendServer(configuration::ServiceKind kind,
                                                              const framework::ModelId &model) = 0;
};

} // namespace lavendertally::backends
