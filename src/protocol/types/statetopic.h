#pragma once

namespace lavendertally::protocol {

/// State that all gateways share; each part of it is one keyed topic of the platform's store.
enum class StateTopic
{
    /// What operators write: the configuration, and availability zones taken out.
    Operators,
    /// Registrations of backend servers.
    BackendServers,
    /// Registrations of daemons.
    Daemons,
};

} // namespace lavendertally::protocol
