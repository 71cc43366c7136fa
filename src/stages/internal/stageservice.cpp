#include "stages/internal/stageservice.h"

#include "framework/iclock.h"
#include "framework/ilogger.h"
#include "framework/imetrics.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "peers/idaemondirectory.h"
#include "peers/ipeernetwork.h"
#include "peers/leadingdaemons.h"
#include "stages/internal/coordinatorchoice.h"

#include <algorithm>
#include <utility>

namespace lavendertally::stages {

namespace {

/// Longest time that a job waits for the coordinator to be known; covers setting up a new link.
constexpr framework::Milliseconds MaxCoordinatorWait{600};
constexpr framework::Milliseconds CoordinatorRetryInterval{50};

/// Short compared to the duration of a call.
constexpr framework::Milliseconds HoldingsReportInterval{100};

} // namespace

StageService::StageService(framework::DaemonId self, IStageCoordinator &coordinator,
                           IStageCallPort &calls, peers::IPeerNetwork &network,
                           peers::IDaemonDirectory &directory, framework::IScheduler &scheduler,
                           const framework::IClock &clock, framework::ILogger &logger,
                           framework::IMetrics &metrics)
    : m_self(std::move(self)), m_network(network), m_directory(directory), m_scheduler(scheduler),
      m_clock(clock), m_logger(logger), m_metrics(metrics),
      m_executor(
          coordinator, calls, scheduler, clock, logger, metrics,
          [this](const framework::DaemonId &owner, const protocol::StageJobOutcome &outcome) {
              onLocalJobEnded(owner, outcome);
          })
{
    m_network.addObserver(*this);
    m_directory.onChange([this] { connectToRanking(); });
    connectToRanking();
}

StageService::~StageService() = default;

void StageService::connectToRanking()
{
    m_network.connectTo(m_directory.ranking());
}

std::vector<CoordinatorCandidate> StageService::candidates() const
{
    std::vector<CoordinatorCandidate> result;
    for (const peers::DaemonAddress &address : m_directory.ranking()) {
        if (result.size() == peers::LeadingDaemons) {
            break;
        }
        const framework::DaemonId &daemon = address.daemon;
        const bool isSelf = daemon == m_self;
        const bool isUsable = isSelf ? m_network.isSelfAccepting() : m_network.isAccepting(daemon);
        const bool isInStartupGrace = !isSelf && m_network.isInStartupGrace(daemon);
        if (isUsable || isInStartupGrace) {
            result.push_back({daemon, isUsable, isInStartupGrace, m_network.startTimeOf(daemon)});
        }
    }
    return result;
}

/// Updates the current coordinator.
/// \return the coordinator, or nothing while it cannot be determined
std::optional<framework::DaemonId> StageService::selectCoordinator()
{
    std::optional<framework::DaemonId> chosen = chooseCoordinator(candidates(), m_coordinator);
    if (chosen && *chosen != m_coordinator) {
        m_logger.info("stage coordinator changed",
                      {{"coordinator", chosen->value()}, {"before", m_coordinator.value()}});
        m_coordinator = *chosen;
        scheduleHoldingsReport();
    }
    return chosen;
}

void StageService::start(const protocol::StageJob &job,
                         std::function<void(protocol::StageJobOutcome)> done)
{
    PendingJob &pending = m_pending[job.request];
    pending = PendingJob{job, std::move(done), {}, m_clock.now()};
    submit(pending);
}

/// Submits the job to the coordinator. While the coordinator cannot be determined, the job waits
/// for up to MaxCoordinatorWait before it runs here: a second coordinator would compete with the
/// right one for the same backend servers.
void StageService::submit(PendingJob &pending)
{
    const std::optional<framework::DaemonId> coordinator = selectCoordinator();
    const framework::Milliseconds elapsed = m_clock.now() - pending.started;
    pending.awaitsCoordinator = !coordinator && elapsed < MaxCoordinatorWait;
    if (pending.awaitsCoordinator) {
        m_retryTimer = m_scheduler.callAfter(CoordinatorRetryInterval, [this] { submitWaiting(); });
        return;
    }
    pending.coordinator = coordinator.value_or(m_self);
    protocol::StageJob job = pending.job;
    job.objectiveLeft -= elapsed;
    job.timeLeft -= elapsed;
    if (pending.coordinator != m_self && m_network.send(pending.coordinator, job)) {
        return;
    }
    pending.coordinator = m_self;
    m_executor.submit(m_self, job);
}

void StageService::submitWaiting()
{
    std::vector<framework::RequestId> waiting;
    for (const auto &[request, pending] : m_pending) {
        if (pending.awaitsCoordinator) {
            waiting.push_back(request);
        }
    }
    for (const framework::RequestId &request : waiting) {
        // Submitting one job may remove others.
        const auto found = m_pending.find(request);
        if (found != m_pending.end()) {
            submit(found->second);
        }
    }
}

void StageService::cancel(const framework::RequestId &request)
{
    auto node = m_pending.extract(request);
    if (node.empty() || node.mapped().awaitsCoordinator) {
        return;
    }
    const framework::DaemonId &coordinator = node.mapped().coordinator;
    if (coordinator == m_self) {
        m_executor.cancel(m_self, request);
        return;
    }
    m_network.send(coordinator, protocol::StageJobCancel{request});
}

/// Releases the results at the coordinator that tracks them, or here if it cannot be reached.
void StageService::release(const std::vector<framework::StageResultId> &results)
{
    std::map<framework::DaemonId, std::vector<framework::StageResultId>> byCoordinator;
    for (const framework::StageResultId &result : results) {
        const auto coordinator = m_resultCoordinators.extract(result);
        byCoordinator[coordinator.empty() ? m_self : coordinator.mapped()].push_back(result);
    }
    for (const auto &[coordinator, group] : byCoordinator) {
        const bool sent = coordinator != m_self
            && m_network.send(coordinator, protocol::StageResultRelease{group});
        if (!sent) {
            m_executor.release(group);
        }
    }
}

void StageService::onLocalJobEnded(const framework::DaemonId &owner,
                                   const protocol::StageJobOutcome &outcome)
{
    if (owner != m_self) {
        m_network.send(owner, outcome);
        return;
    }
    m_localOutcomes.push_back(outcome);
    m_localOutcomesTimer = m_scheduler.callAfter(framework::Milliseconds(0), [this] {
        for (const protocol::StageJobOutcome &each : std::exchange(m_localOutcomes, {})) {
            onOutcome(m_self, each);
        }
    });
}

void StageService::onOutcome(const framework::DaemonId &coordinator,
                             const protocol::StageJobOutcome &outcome)
{
    for (const protocol::StageResultPlace &place : outcome.results) {
        m_resultCoordinators[place.id] = coordinator;
    }
    const auto found = m_pending.find(outcome.request);
    if (found == m_pending.end()) {
        // The job was cancelled while its outcome was in transit, so nobody will release its
        // results.
        std::vector<framework::StageResultId> unused;
        for (const protocol::StageResultPlace &place : outcome.results) {
            unused.push_back(place.id);
        }
        release(unused);
        return;
    }
    if (outcome.status == protocol::StageJobStatus::NotCoordinator) {
        submit(found->second);
        return;
    }
    auto node = m_pending.extract(found);
    node.mapped().done(outcome);
}

void StageService::onMessage(const framework::DaemonId &peer, const protocol::PeerMessage &message)
{
    if (const auto *job = std::get_if<protocol::StageJob>(&message)) {
        m_executor.submit(peer, *job);
    } else if (const auto *cancelled = std::get_if<protocol::StageJobCancel>(&message)) {
        m_executor.cancel(peer, cancelled->request);
    } else if (const auto *released = std::get_if<protocol::StageResultRelease>(&message)) {
        m_executor.release(released->results);
    } else if (const auto *outcome = std::get_if<protocol::StageJobOutcome>(&message)) {
        onOutcome(peer, *outcome);
    } else if (const auto *holdings = std::get_if<protocol::StageHoldings>(&message)) {
        onHoldings(peer, *holdings);
    }
}

/// Only the current coordinator answers a report, so that the exchange ends when the other daemon
/// has no more jobs.
void StageService::onHoldings(const framework::DaemonId &peer,
                              const protocol::StageHoldings &holdings)
{
    m_executor.setPeerHoldings(peer, holdings);
    if (m_coordinator == m_self) {
        m_peersToReportTo.insert(peer);
        scheduleHoldingsReport();
    }
}

/// While this daemon and another one both coordinate jobs, each reports its calls and result
/// storage at backend servers to the other, so that they do not overload them together.
void StageService::scheduleHoldingsReport()
{
    if (m_holdingsTimer) {
        return;
    }
    m_holdingsTimer = m_scheduler.callAfter(HoldingsReportInterval, [this] {
        m_holdingsTimer.reset();
        const bool isOtherCoordinatorChosen = !m_coordinator.isEmpty() && m_coordinator != m_self;
        std::set<framework::DaemonId> peers = std::exchange(m_peersToReportTo, {});
        if (isOtherCoordinatorChosen && m_executor.hasJobs()) {
            peers.insert(m_coordinator);
            scheduleHoldingsReport();
        }
        const protocol::StageHoldings holdings = m_executor.holdings();
        for (const framework::DaemonId &peer : peers) {
            m_network.send(peer, holdings);
        }
    });
}

void StageService::handOver()
{
    m_network.announce();
    m_executor.handOver();
    selectCoordinator();
    scheduleHoldingsReport();
}

void StageService::onDigests(const framework::DaemonId & /*peer*/,
                             const std::vector<protocol::TopicDigest> & /*digests*/,
                             std::optional<framework::TimePoint> /*asked*/)
{
    // Stages use no shared topics.
}

void StageService::onCrashFingerprint(const framework::DaemonId & /*peer*/,
                                      protocol::EvidenceFingerprint /*fingerprint*/)
{
    // Stages use no evidence of crashes.
}

void StageService::onOutboundLinkLost(const framework::DaemonId &peer)
{
    std::size_t resubmitted = 0;
    for (auto &[request, pending] : m_pending) {
        if (!pending.awaitsCoordinator && pending.coordinator == peer) {
            submit(pending);
            ++resubmitted;
        }
    }
    if (resubmitted > 0) {
        m_logger.warning("link to stage coordinator lost; its jobs are submitted again",
                         {{"peer", peer.value()}, {"jobs", std::to_string(resubmitted)}});
        m_metrics.increment("lavendertally_stage_jobs_moved_total", {},
                            static_cast<std::int64_t>(resubmitted));
    }
}

void StageService::onInboundLinkClosed(const framework::DaemonId &peer)
{
    m_executor.cancelAll(peer);
}

} // namespace lavendertally::stages
