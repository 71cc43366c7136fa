#pragma once

namespace lavendertally::routing {

enum class RoutingError
{
    /// No backend server of the service may receive the call.
    NoAdmittingWorker,
};

} // namespace lavendertally::routing
