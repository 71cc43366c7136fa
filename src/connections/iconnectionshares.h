#pragma once

#include "connections/types/fleetview.h"
#include "framework/types/ids.h"

#include <functional>

namespace lavendertally::http {
class IConnectionGate;
}

namespace lavendertally::membership {
struct BackendServerEntry;
}

namespace lavendertally::routing {
class IServerFilter;
}

namespace lavendertally::connections {

class ILeaseBook;

/// This gateway's part of the connections that backend servers accept from all gateways together.
/// Servers of a service without a limit are not restricted.
class IConnectionShares
{
public:
    virtual ~IConnectionShares() = default;

    /// Tells which gateways share the connections; shares change accordingly.
    virtual void setFleet(const FleetView &fleet) = 0;

    /// Tells the service of a server before a call is sent to it.
    virtual void noteServer(const membership::BackendServerEntry &server) = 0;

    /// \return whether the server limits its connections
    virtual bool isLimited(const membership::BackendServerEntry &server) const = 0;

    /// \return whether a call to some server of \p service would get a connection at once. If not,
    /// the listeners of onFree() are told when that changes.
    virtual bool canTakeCall(const framework::ServiceId &service) = 0;

    /// Adds a callback for when a connection of a service becomes free after none was; never called
    /// from within a function of this object or of its gate.
    virtual void onFree(std::function<void(const framework::ServiceId &service)> callback) = 0;

    /// Sets the gauges, and applies what changes with time. Called periodically.
    virtual void tick() = 0;

    /// \return what gateways lend each other
    virtual ILeaseBook &leases() = 0;

    /// \return what limits the connections of the HTTP client
    virtual http::IConnectionGate &gate() = 0;

    /// \return what keeps calls from servers that have no free connection
    virtual routing::IServerFilter &filter() = 0;
};

} // namespace lavendertally::connections
