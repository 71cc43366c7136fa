#pragma once

#include "configuration/types/servicekind.h"
#include "framework/types/ids.h"

#include <memory>

namespace lavendertally::backends {

class IBackendServer;

/// Makes the client of the backend server beside this process, once the configuration tells what
/// it serves.
class IBackendServerFactory
{
public:
    virtual ~IBackendServerFactory() = default;

    /// \param model model to ask for; only engines need it
    virtual std::unique_ptr<IBackendServer> makeBackendServer(configuration::ServiceKind kind,
                                                              const framework::ModelId &model) = 0;
};

} // namespace lavendertally::backends
