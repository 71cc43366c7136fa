#include "control/internal/daemoncontrol.h"

#include "configuration/iconfigurationreplica.h"
#include "configuration/types/configurationview.h"
#include "control/icontrolclient.h"
#include "control/icontrolserver.h"
#include "control/internal/controldump.h"
#include "control/types/controlerror.h"
#include "framework/asyncerror.h"
#include "framework/iclock.h"
#include "framework/imetrics.h"
#include "membership/imembershiptracker.h"

#include <nlohmann/json.hpp>

#include <utility>
#include <variant>

namespace lavendertally::control {

DaemonControl::DaemonControl(const ControlDependencies &parts, framework::IScheduler &scheduler,
                             std::unique_ptr<IControlServer> server,
                             std::unique_ptr<IControlClient> client)
    : m_identity(parts.identity), m_membership(parts.membership), m_replica(parts.replica),
      m_clock(parts.clock), m_isolation(parts.isolationLimits, parts.clock.now()),
      m_snapshotPolicy(parts.snapshotLimits, parts.clock.now()),
      m_syncPolicy(parts.identity, parts.seedPeers, parts.syncLimits, parts.random,
                   parts.clock.now()),
      m_updater(parts.replica, parts.recordCodec, m_snapshotPolicy, parts.clock, parts.metrics),
      m_reports(parts.identity, parts.replica, parts.membership, parts.clock),
      m_responder(parts.identity.daemon, m_updater, m_reports), m_client(std::move(client)),
      m_server(std::move(server)),
      m_sync(parts.identity.daemon, *m_client, m_syncPolicy, m_isolation, m_updater, m_reports,
             scheduler, parts.clock, parts.metrics, parts.syncLimits.queryTimeout),
      m_poller(parts.hostList, parts.membership, scheduler, parts.clock, parts.metrics)
{
    if (parts.log != nullptr) {
        m_follower.emplace(*parts.log, m_syncPolicy, m_isolation, m_updater, scheduler, parts.clock,
                           parts.metrics, parts.syncLimits.logCheckInterval);
        m_writer.emplace(parts.identity, *parts.log, m_snapshotPolicy, parts.replica,
                         parts.recordCodec, parts.membership, scheduler, parts.clock, parts.logger);
    }
    m_poller.setObserver([this] { handleMembership(); });
    m_responder.setRevisionObserver(
        [this](const framework::DaemonId &sender, framework::LogOffset revision) {
            noteRevision(sender, revision);
        });
    m_server->setHandler(
        [this](const protocol::Message &message) { return m_responder.answer(message); });
}

DaemonControl::~DaemonControl() = default;

framework::Result<framework::Endpoint> DaemonControl::start(const framework::Endpoint &endpoint)
{
    BOOST_LEAF_AUTO(listening, m_server->listen(endpoint));
    const std::weak_ptr<const bool> alive = m_alive;
    m_replica.onChange([this, alive] {
        if (!alive.expired()) {
            handleAdvance();
        }
    });
    handleAdvance();
    m_poller.start();
    m_sync.start();
    if (m_follower) {
        m_follower->start();
        m_writer->start();
    }
    return listening;
}

void DaemonControl::handleAdvance()
{
    m_membership.setOutOfService(*m_replica.current(), m_clock.now());
}

void DaemonControl::handleMembership()
{
    m_syncPolicy.setEntries(m_membership.entryHosts());
    const auto observers = m_observers;
    for (const auto &observer : observers) {
        observer();
    }
}

void DaemonControl::noteRevision(const framework::Endpoint &peer, framework::LogOffset revision)
{
    m_sync.noteRevision(peer, revision);
}

void DaemonControl::noteRevision(const framework::DaemonId &sender, framework::LogOffset revision)
{
    const auto entry = m_membership.find(framework::HostId(sender.value()));
    if (entry) {
        m_sync.noteRevision(entry->control, revision);
    } else {
        m_sync.noteRevisionFromUnknownPeer(revision);
    }
}

bool DaemonControl::isIsolated() const
{
    return m_isolation.isIsolated(m_clock.now());
}

void DaemonControl::setLoadSource(std::function<protocol::LoadReport()> source)
{
    m_responder.setLoadSource(std::move(source));
}

void DaemonControl::setCrashEvidence(ICrashEvidenceExchange &exchange)
{
    m_responder.setCrashEvidence(exchange);
    m_sync.setCrashEvidence(exchange);
}

void DaemonControl::probeLoad(const framework::Endpoint &peer, framework::Milliseconds timeout,
                              std::function<void(framework::Result<protocol::LoadReport>)> callback)
{
    const protocol::LoadQuery query{m_identity.daemon, m_updater.revision()};
    m_client->sendQuery(
        peer, query, timeout,
        [callback = std::move(callback)](framework::Result<protocol::Message> result) {
            if (!result) {
                const auto error = framework::errorOf(std::move(result), ControlError::TimedOut);
                callback(framework::asyncError<protocol::LoadReport>(error));
                return;
            }
            const auto *report = std::get_if<protocol::LoadReport>(&result.value());
            if (report == nullptr) {
                callback(
                    framework::asyncError<protocol::LoadReport>(ControlError::MalformedAnswer));
                return;
            }
            callback(*report);
        });
}

void DaemonControl::onMembershipUpdate(std::function<void()> observer)
{
    m_observers.push_back(std::move(observer));
}

nlohmann::json DaemonControl::dumpState() const
{
    nlohmann::json result;
    result["daemon"] = m_identity.daemon.value();
    result["revision"] = m_updater.revision().value();
    result["isolated"] = isIsolated();
    result["daemons"] = dumpReports(m_reports.reports());
    result["hosts"] = dumpHosts(m_membership.hosts());
    const bool follows =
        m_follower && m_syncPolicy.logReadMode(m_clock.now()) == LogReadMode::Follow;
    result["follows_log"] = follows;
    if (m_follower && m_follower->lastAnswer()) {
        result["log_answer_age_ms"] = (m_clock.now() - *m_follower->lastAnswer()).value();
    }
    return result;
}

} // namespace lavendertally::control
