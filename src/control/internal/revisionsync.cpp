#include "control/internal/revisionsync.h"

#include "configuration/iconfigurationreplica.h"
#include "control/icontrolclient.h"
#include "control/icrashevidenceexchange.h"
#include "control/iisolationpolicy.h"
#include "control/internal/replicaupdater.h"
#include "control/internal/revisionreports.h"
#include "control/irevisionsyncpolicy.h"
#include "framework/iclock.h"
#include "framework/imetrics.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace lavendertally::control {

using framework::Endpoint;

namespace {

/// Minimum delay of poll(), so that a policy cannot keep the loop busy.
constexpr framework::Milliseconds MinPollDelay{5};

} // namespace

RevisionSync::RevisionSync(framework::DaemonId self, IControlClient &client,
                           IRevisionSyncPolicy &policy, IIsolationPolicy &isolation,
                           ReplicaUpdater &updater, RevisionReports &reports,
                           framework::IScheduler &scheduler, const framework::IClock &clock,
                           framework::IMetrics &metrics, framework::Milliseconds queryTimeout)
    : m_self(std::move(self)), m_client(client), m_policy(policy), m_isolation(isolation),
      m_updater(updater), m_reports(reports), m_scheduler(scheduler), m_clock(clock),
      m_metrics(metrics), m_queryTimeout(queryTimeout)
{ }

RevisionSync::~RevisionSync() = default;

void RevisionSync::start()
{
    const std::weak_ptr<const bool> alive = m_alive;
    m_updater.replica().onChange([this, alive] {
        if (!alive.expired()) {
            handleAdvance();
        }
    });
    rearm();
}

void RevisionSync::poll()
{
    while (const std::optional<Endpoint> peer = m_policy.nextPeer(m_clock.now())) {
        sendQuery(*peer);
    }
    rearm();
}

void RevisionSync::rearm()
{
    const framework::Milliseconds delay =
        std::max(m_policy.nextDue() - m_clock.now(), MinPollDelay);
    m_timer = m_scheduler.callAfter(delay, [this] { poll(); });
}

void RevisionSync::sendQuery(const Endpoint &peer)
{
    m_metrics.increment("lavendertally_control_asked_total", {});
    protocol::RevisionQuery query{m_self, m_updater.revision()};
    if (m_evidence != nullptr) {
        query.evidence = m_evidence->newest();
        query.takesEvidence = true;
    }
    const std::weak_ptr<const bool> alive = m_alive;
    m_client.sendQuery(peer, query, m_queryTimeout,
                       [this, alive, peer](framework::Result<protocol::Message> result) {
                           if (alive.expired()) {
                               return;
                           }
                           const auto *reply = result
                               ? std::get_if<protocol::RevisionReply>(&result.value())
                               : nullptr;
                           if (reply == nullptr) {
                               handleFailure(peer);
                           } else {
                               handleReply(peer, *reply);
                           }
                       });
}

void RevisionSync::handleReply(const Endpoint &peer, const protocol::RevisionReply &reply)
{
    m_policy.noteAnswer(peer, m_clock.now());
    m_reports.note(reply.sender, reply.revision);
    if (!reply.snapshot.empty()) {
        m_updater.restore(reply.snapshot);
    }
    if (!reply.records.empty()) {
        m_updater.applyRecords(reply.records);
    }
    m_isolation.noteContact(reply.revision, m_updater.revision(), m_clock.now());
    if (m_evidence != nullptr && !reply.evidence.empty()) {
        m_evidence->receive(reply.evidence);
    }
    rearm();
}

void RevisionSync::spread()
{
    m_policy.noteAdvance();
    rearm();
}

void RevisionSync::handleFailure(const Endpoint &peer)
{
    m_policy.noteFailure(peer, m_clock.now());
    rearm();
}

void RevisionSync::handleAdvance()
{
    m_isolation.noteAdvance(m_updater.revision());
    m_policy.noteAdvance();
    rearm();
}

void RevisionSync::noteRevision(const Endpoint &peer, framework::LogOffset revision)
{
    const framework::LogOffset own = m_updater.revision();
    m_isolation.noteContact(revision, own, m_clock.now());
    if (revision > own) {
        m_policy.noteNewerRevision(peer);
        rearm();
    }
}

void RevisionSync::noteRevisionFromUnknownPeer(framework::LogOffset revision)
{
    const framework::LogOffset own = m_updater.revision();
    m_isolation.noteContact(revision, own, m_clock.now());
    if (revision > own) {
        m_policy.noteNewerRevisionElsewhere();
        rearm();
    }
}

} // namespace lavendertally::control
