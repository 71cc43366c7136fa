#pragma once

#include "framework/result.h"
#include "framework/types/endpoint.h"
#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "protocol/types/message.h"

#include <memory>

namespace lavendertally::framework {
class IClock;
class IMetrics;
class IScheduler;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::control {

class ConfigurationFeed;
class IControlClient;
class IIsolationPolicy;
class IRevisionSyncPolicy;
class RevisionReports;

/// Asks peers for newer configuration when the policy says so.
class RevisionSync
{
public:
    RevisionSync(framework::DaemonId self, IControlClient &client, IRevisionSyncPolicy &policy,
                 IIsolationPolicy &isolation, ConfigurationFeed &feed, RevisionReports &reports,
                 framework::IScheduler &scheduler, const framework::IClock &clock,
                 framework::IMetrics &metrics, framework::Milliseconds askTimeout);
    ~RevisionSync();
    RevisionSync(const RevisionSync &) = delete;
    RevisionSync &operator=(const RevisionSync &) = delete;

    void start();

    /// Asks whom the policy wants asked by now.
    void poll();

    /// Notes the revision of a peer whose control endpoint is known.
    void noteRevision(const framework::Endpoint &peer, framework::LogOffset revision);

    /// Notes the revision of a peer that cannot be asked directly.
    void noteRevisionSomewhere(framework::LogOffset revision);

private:
    void ask(const framework::Endpoint &peer);
    void handleReply(const framework::Endpoint &peer, const protocol::RevisionReply &reply);
    void handleFailure(const framework::Endpoint &peer);
    void handleAdvance();
    void rearm();

    framework::DaemonId m_self;
    IControlClient &m_client;
    IRevisionSyncPolicy &m_policy;
    IIsolationPolicy &m_isolation;
    ConfigurationFeed &m_feed;
    RevisionReports &m_reports;
    framework::IScheduler &m_scheduler;
    const framework::IClock &m_clock;
    framework::IMetrics &m_metrics;
    framework::Milliseconds m_askTimeout;
    std::unique_ptr<framework::ITimer> m_timer;
    /// Tells callbacks that outlive this object that it is gone.
    std::shared_ptr<const bool> m_alive = std::make_shared<bool>(true);
};

} // namespace lavendertally::control
