#pragma once

#include "framework/types/endpoint.h"
#include "protocol/types/statetopic.h"

namespace lavendertally::peers {
class IDaemonDirectory;
}

namespace lavendertally::proxy {
class IBackendClient;
}

namespace lavendertally::replication {
struct ReplicatedTopic;
}

namespace lavendertally::rollout {
class IRolloutOrders;
class IRolloutStatusStore;
} // namespace lavendertally::rollout

namespace lavendertally::stages {
class IStageCallPort;
}

namespace lavendertally::platform {

/// The users' platform: its store, and the backend servers on it.
class IPlatform
{
public:
    virtual ~IPlatform() = default;

    /// Begins to follow the store, and registers this daemon there.
    /// \param endpoint where this daemon answers others
    virtual void start(const framework::Endpoint &endpoint) = 0;

    /// Takes this daemon's registration back.
    virtual void leave() = 0;

    virtual proxy::IBackendClient &backends() = 0;
    virtual stages::IStageCallPort &stageCalls() = 0;
    virtual peers::IDaemonDirectory &daemons() = 0;

    /// Hands the operator's orders for rollouts to \p orders, which outlives the platform. Called
    /// before start(); without it, orders are passed over.
    virtual void setRolloutOrders(rollout::IRolloutOrders &orders) = 0;
    virtual rollout::IRolloutStatusStore &rolloutStatuses() = 0;

    /// \return a part of the state that all daemons share
    virtual replication::ReplicatedTopic topic(protocol::StateTopic name) = 0;
};

} // namespace lavendertally::platform
