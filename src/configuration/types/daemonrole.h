#pragma once

namespace lavendertally::configuration {

/// Role that a lavendertallyd process plays, chosen by its settings file.
enum class DaemonRole
{
    /// Accepts requests of callers behind the load balancer of the platform.
    Entry,
    /// Sidecar of one backend server.
    Host,
    /// Proxy that forwards the requests of the users' platform.
    Gateway,
};

} // namespace lavendertally::configuration
