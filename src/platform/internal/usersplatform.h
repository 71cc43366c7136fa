#pragma once

#include "platform/internal/backendserverfeed.h"
#include "platform/internal/daemonfeed.h"
#include "platform/internal/httpbackendport.h"
#include "platform/internal/httpstagecallport.h"
#include "platform/internal/operatorfeed.h"
#include "platform/internal/rolloutstatusport.h"
#include "platform/internal/storeclient.h"
#include "platform/iplatform.h"

#include <memory>

namespace lavendertally::http {
class IHttpClient;
}

namespace lavendertally::platform {

struct PlatformParts;

/// Wires the parts of the adapter together.
class UsersPlatform final : public IPlatform
{
public:
    explicit UsersPlatform(const PlatformParts &parts);
    ~UsersPlatform() override;

    void start(const framework::Endpoint &endpoint) override;
    void leave() override;
    proxy::IBackendClient &backends() override { return m_backends; }
    stages::IStageCallPort &stageCalls() override { return m_stageCalls; }
    peers::IDaemonDirectory &daemons() override { return m_daemons; }
    void setRolloutOrders(rollout::IRolloutOrders &orders) override
    {
        m_operators.setRolloutOrders(orders);
    }
    rollout::IRolloutStatusStore &rolloutStatuses() override { return m_rolloutStatuses; }
    replication::ReplicatedTopic topic(protocol::StateTopic name) override;

private:
    std::unique_ptr<http::IHttpClient> m_storeClient;
    std::unique_ptr<http::IHttpClient> m_backendClient;
    StoreClient m_store;
    OperatorFeed m_operators;
    BackendServerFeed m_servers;
    DaemonFeed m_daemons;
    RolloutStatusPort m_rolloutStatuses;
    HttpBackendPort m_backends;
    HttpStageCallPort m_stageCalls;
};

} // namespace lavendertally::platform
