#pragma once

namespace lavendertally::protocol {

/// Parts of the state that all gateways share. Each is one keyed topic of the platform's store.
enum class StateTopic
{
    /// Written by operators: the configuration, and availability zones taken out of service.
    Operators,
    /// Registrations of backend servers.
    BackendServers,
    /// Registrations of daemons.
    Daemons,
};

} // namespace lavendertally::protocol
