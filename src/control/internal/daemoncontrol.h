#pragma once

#include "control/idaemoncontrol.h"
#include "control/internal/controlresponder.h"
#include "control/internal/hostlistpoller.h"
#include "control/internal/isolationpolicy.h"
#include "control/internal/logfollower.h"
#include "control/internal/replicaupdater.h"
#include "control/internal/revisionreports.h"
#include "control/internal/revisionsync.h"
#include "control/internal/revisionsyncpolicy.h"
#include "control/internal/snapshotpolicy.h"
#include "control/internal/snapshotwriter.h"
#include "control/types/controldependencies.h"

#include <memory>
#include <optional>

namespace lavendertally::control {

class IControlClient;
class IControlServer;

/// Owns and connects the components of the control side of one daemon.
class DaemonControl final : public IDaemonControl
{
public:
    DaemonControl(const ControlDependencies &parts, framework::IScheduler &scheduler,
                  std::unique_ptr<IControlServer> server, std::unique_ptr<IControlClient> client);
    ~DaemonControl() override;
    DaemonControl(const DaemonControl &) = delete;
    DaemonControl &operator=(const DaemonControl &) = delete;

    framework::Result<framework::Endpoint> start(const framework::Endpoint &endpoint) override;
    void noteRevision(const framework::Endpoint &peer, framework::LogOffset revision) override;
    void noteRevision(const framework::DaemonId &sender, framework::LogOffset revision) override;
    bool isIsolated() const override;
    const IRevisionReports &revisionReports() const override { return m_reports; }
    void setLoadSource(std::function<protocol::LoadReport()> source) override;
    void setCrashEvidence(ICrashEvidenceExchange &exchange) override;
    void spreadCrashEvidence() override { m_sync.spread(); }
    void probeLoad(const framework::Endpoint &peer, framework::Milliseconds timeout,
                   std::function<void(framework::Result<protocol::LoadReport>)> callback) override;
    void onMembershipUpdate(std::function<void()> observer) override;
    nlohmann::json dumpState() const override;

private:
    void handleMembership();
    void handleAdvance();

    ControlIdentity m_identity;
    membership::IMembershipTracker &m_membership;
    configuration::IConfigurationReplica &m_replica;
    const framework::IClock &m_clock;
    IsolationPolicy m_isolation;
    SnapshotPolicy m_snapshotPolicy;
    RevisionSyncPolicy m_syncPolicy;
    ReplicaUpdater m_updater;
    RevisionReports m_reports;
    ControlResponder m_responder;
    std::unique_ptr<IControlClient> m_client;
    std::unique_ptr<IControlServer> m_server;
    RevisionSync m_sync;
    HostListPoller m_poller;
    std::optional<LogFollower> m_follower;
    std::optional<SnapshotWriter> m_writer;
    std::vector<std::function<void()>> m_observers;
    std::shared_ptr<const bool> m_alive = std::make_shared<bool>(true);
};

} // namespace lavendertally::control
