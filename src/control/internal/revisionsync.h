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

class ReplicaUpdater;
class IControlClient;
class ICrashEvidenceExchange;
class IIsolationPolicy;
class IRevisionSyncPolicy;
class RevisionReports;

/// Queries peers for newer configuration when the policy requests it.
class RevisionSync
{
public:
    RevisionSync(framework::DaemonId self, IControlClient &client, IRevisionSyncPolicy &policy,
                 IIsolationPolicy &isolation, ReplicaUpdater &updater, RevisionReports &reports,
                 framework::IScheduler &scheduler, const framework::IClock &clock,
                 framework::IMetrics &metrics, framework::Milliseconds queryTimeout);
    ~RevisionSync();
    RevisionSync(const RevisionSync &) = delete;
    RevisionSync &operator=(const RevisionSync &) = delete;

    void start();

    /// Queries all peers that are due by the policy.
    void poll();

    /// Records the revision of a peer whose control endpoint is known.
    void noteRevision(const framework::Endpoint &peer, framework::LogOffset revision);

    /// Records the revision of a peer whose control endpoint is not known.
    void noteRevisionFromUnknownPeer(framework::LogOffset revision);

    /// Sets the evidence that queries and their answers carry.
    void setCrashEvidence(ICrashEvidenceExchange &exchange) { m_evidence = &exchange; }

    /// Queries some entries at once, so that they learn of changed evidence.
    void spread();

private:
    void sendQuery(const framework::Endpoint &peer);
    void handleReply(const framework::Endpoint &peer, const protocol::RevisionReply &reply);
    void handleFailure(const framework::Endpoint &peer);
    void handleAdvance();
    void rearm();

    framework::DaemonId m_self;
    IControlClient &m_client;
    IRevisionSyncPolicy &m_policy;
    IIsolationPolicy &m_isolation;
    ReplicaUpdater &m_updater;
    RevisionReports &m_reports;
    framework::IScheduler &m_scheduler;
    const framework::IClock &m_clock;
    framework::IMetrics &m_metrics;
    framework::Milliseconds m_queryTimeout;
    /// Null if no evidence is exchanged.
    ICrashEvidenceExchange *m_evidence = nullptr;
    std::unique_ptr<framework::ITimer> m_timer;
    /// Expires with this object, so that callbacks that outlive it do nothing.
    std::shared_ptr<const bool> m_alive = std::make_shared<bool>(true);
};

} // namespace lavendertally::control
