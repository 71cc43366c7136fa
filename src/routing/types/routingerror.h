#pragma once

namespace lavendertally::routing {

enum class RoutingError
{
    /// No backend server of the service may receive the call.
    NoAdmittingBackend,
};

} // namespace lavendertally::routing
