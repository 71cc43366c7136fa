#include "platform/internal/usersplatform.h"

#include "connections/iconnectionshares.h"
#include "framework/ieventloop.h"
#include "http/httpmodule.h"
#include "http/ihttpclient.h"
#include "platform/types/platformparts.h"

namespace lavendertally::platform {

namespace {

/// Connections to the store and to backend servers are within one region; what takes longer than a
/// few round trips is down or cut off.
constexpr framework::Milliseconds ConnectTimeout{400};
constexpr framework::Milliseconds AcknowledgeTimeout{1500};

/// Idle connections of backend servers that state no time.
constexpr framework::Milliseconds MaxIdle{4000};

http::HttpClientOptions clientOptions(std::size_t maxIdleConnections)
{
    http::HttpClientOptions options;
    options.connectTimeout = ConnectTimeout;
    options.acknowledgeTimeout = AcknowledgeTimeout;
    options.maxIdle = MaxIdle;
    options.maxIdleConnections = maxIdleConnections;
    return options;
}

http::HttpClientOptions backendOptions(const PlatformParts &parts)
{
    http::HttpClientOptions options = clientOptions(parts.maxIdleConnections);
    options.gate = &parts.connections.gate();
    return options;
}

} // namespace

UsersPlatform::UsersPlatform(const PlatformParts &parts)
    : m_storeClient(
        http::HttpModule::makeClient(parts.loop, clientOptions(parts.maxIdleConnections))),
      m_backendClient(http::HttpModule::makeClient(parts.loop, backendOptions(parts))),
      m_store(*m_storeClient, parts.store, parts.clock, parts.logger, parts.metrics),
      m_operators(m_store, parts.loop, parts.clock, parts.logger, parts.metrics, parts.serving,
                  parts.servers),
      m_servers(m_store, parts.loop, parts.clock, parts.logger, parts.servers),
      m_daemons(m_store, parts.loop, parts.clock, parts.logger, parts.self, parts.capacity),
      m_rolloutStatuses(m_store, parts.logger),
      m_backends(*m_backendClient, parts.servers, parts.connections),
      m_stageCalls(*m_backendClient, parts.servers, parts.connections, parts.logger, parts.metrics)
{ }

UsersPlatform::~UsersPlatform() = default;

void UsersPlatform::start(const framework::Endpoint &endpoint)
{
    m_operators.start();
    m_servers.start();
    m_daemons.start(endpoint);
}

replication::ReplicatedTopic UsersPlatform::topic(protocol::StateTopic name)
{
    switch (name) {
    case protocol::StateTopic::Operators:
        return m_operators.topic();
    case protocol::StateTopic::BackendServers:
        return m_servers.topic();
    case protocol::StateTopic::Daemons:
        break;
    }
    return m_daemons.topic();
}

void UsersPlatform::leave()
{
    m_daemons.leave();
}

} // namespace lavendertally::platform
