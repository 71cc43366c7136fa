#pragma once

#include "framework/types/ids.h"
#include "peers/types/peerlimits.h"

#include <memory>
#include <vector>

namespace lavendertally::framework {
class IClock;
class IEventLoop;
class ILogger;
} // namespace lavendertally::framework

namespace lavendertally::peers {

class IPeerNetwork;
struct DaemonAddress;
struct DaemonRegistration;

/// Creates the network of links between daemons.
class PeersModule
{
public:
    /// \param self id of this daemon, sent to the peers
    static std::unique_ptr<IPeerNetwork> makeNetwork(framework::IEventLoop &loop,
                                                     const framework::IClock &clock,
                                                     framework::ILogger &logger,
                                                     const framework::DaemonId &self,
                                                     const PeerLimits &limits = {});

    /// Orders daemons so that those at the head can bear the tasks that one daemon does for all.
    /// All daemons get the same order from the same registrations.
    static std::vector<DaemonAddress> rank(std::vector<DaemonRegistration> registrations);
};

} // namespace lavendertally::peers
