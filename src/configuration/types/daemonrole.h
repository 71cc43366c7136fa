#pragma once

namespace lavendertally::configuration {

enum class DaemonRole
{
    /// Takes callers' requests behind the platform's balancer.
    Entry,
    /// Runs beside one backend server.
    Host,
    /// Forwards the requests of the users' platform.
    Gateway,
};

} // namespace lavendertally::configuration
