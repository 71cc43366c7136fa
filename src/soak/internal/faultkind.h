#pragma once

namespace lavendertally::soak {

/// What the soak does to the system.
enum class FaultKind
{
    GatewayKilled,
    AllGatewaysKilled,
    GatewayStopped,
    GatewayPaused,
    GatewayReloaded,
    StoreFault,
    StoreLapse,
    HistoryDropped,
    StoreLink,
    PeerLink,
    ServerLink,
    ServerFault,
    ServerBusy,
    StreamsBreak,
    ServerReplaced,
    RouteAdded,
    KeyRevoked,
    ZoneOut,
};

/// \return the name of \p kind in reports
const char *faultName(FaultKind kind);

} // namespace lavendertally::soak
