#include "stages/internal/stagegateway.h"

#include "framework/iclock.h"
#include "framework/ilogger.h"
#include "framework/imetrics.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "peers/daemonranking.h"
#include "peers/idaemondirectory.h"
#include "peers/ipeernetwork.h"

#include <algorithm>
#include <utility>

namespace lavendertally::stages {

namespace {

/// Daemons of which one started less than this much earlier count as started together.
constexpr framework::Milliseconds StartSpread{2000};

} // namespace

StageGateway::StageGateway(framework::DaemonId self, IStageCoordinator &coordinator,
                           IStageCallPort &calls, peers::IPeerNetwork &network,
                           peers::IDaemonDirectory &directory, framework::IScheduler &scheduler,
                           const framework::IClock &clock, framework::ILogger &logger,
                           framework::IMetrics &metrics)
    : m_self(std::move(self)), m_network(network), m_directory(directory), m_scheduler(scheduler),
      m_clock(clock), m_logger(logger), m_metrics(metrics),
      m_runner(coordinator, calls, scheduler, clock, logger, metrics,
               [this](const framework::DaemonId &owner, const protocol::StageJobOutcome &outcome) {
                   jobEnded(owner, outcome);
               })
{
    m_network.addObserver(*this);
    m_directory.onChange([this] { rankDaemons(); });
    rankDaemons();
}

StageGateway::~StageGateway() = default;

void StageGateway::rankDaemons()
{
    std::vector<peers::DaemonAddress> others = m_directory.daemons();
    m_ranking = peers::rankDaemons(m_self, others);
    std::erase_if(others, [this](const peers::DaemonAddress &daemon) {
        return !peers::isLeading(m_ranking, daemon.daemon);
    });
    m_network.connectTo(others);
}

/// The daemon that has been up longest, so that one that was restarted does not take the jobs back;
/// among those that started together the first in the common order.
framework::DaemonId StageGateway::chooseCoordinator()
{
    framework::DaemonId chosen = m_self;
    framework::TimePoint oldest = framework::TimePoint::never();
    const std::size_t candidates = std::min(peers::LeadingDaemons, m_ranking.size());
    for (std::size_t index = 0; index < candidates; ++index) {
        const framework::DaemonId &daemon = m_ranking[index];
        const bool usable =
            daemon == m_self ? m_network.isSelfAccepting() : m_network.isAccepting(daemon);
        const framework::TimePoint start = m_network.startOf(daemon);
        if (usable && (oldest == framework::TimePoint::never() || start + StartSpread < oldest)) {
            chosen = daemon;
            oldest = start;
        }
    }
    if (chosen != m_coordinator) {
        m_logger.info("coordinator of stages chosen",
                      {{"coordinator", chosen.value()}, {"before", m_coordinator.value()}});
        m_coordinator = chosen;
    }
    return chosen;
}

void StageGateway::start(const protocol::StageJob &job,
                         std::function<void(protocol::StageJobOutcome)> done)
{
    PendingJob &pending = m_pending[job.request];
    pending = PendingJob{job, std::move(done), {}, m_clock.now()};
    submit(pending);
}

void StageGateway::submit(PendingJob &pending)
{
    pending.coordinator = chooseCoordinator();
    protocol::StageJob job = pending.job;
    const framework::Milliseconds elapsed = m_clock.now() - pending.started;
    job.objectiveLeft -= elapsed;
    job.timeLeft -= elapsed;
    if (pending.coordinator != m_self && m_network.send(pending.coordinator, job)) {
        return;
    }
    pending.coordinator = m_self;
    m_runner.submit(m_self, job);
}

void StageGateway::cancel(const framework::RequestId &request)
{
    auto node = m_pending.extract(request);
    if (node.empty()) {
        return;
    }
    const framework::DaemonId &coordinator = node.mapped().coordinator;
    if (coordinator == m_self) {
        m_runner.cancel(m_self, request);
        return;
    }
    m_network.send(coordinator, protocol::StageJobCancel{request});
}

void StageGateway::release(const std::vector<framework::StageResultId> &results)
{
    if (results.empty()) {
        return;
    }
    const framework::DaemonId coordinator = chooseCoordinator();
    const bool sent =
        coordinator != m_self && m_network.send(coordinator, protocol::StageResultRelease{results});
    if (!sent) {
        m_runner.release(results);
    }
}

void StageGateway::jobEnded(const framework::DaemonId &owner,
                            const protocol::StageJobOutcome &outcome)
{
    if (owner != m_self) {
        m_network.send(owner, outcome);
        return;
    }
    m_ended.push_back(outcome);
    m_endedTimer = m_scheduler.callAfter(framework::Milliseconds(0), [this] {
        for (const protocol::StageJobOutcome &each : std::exchange(m_ended, {})) {
            outcomeArrived(each);
        }
    });
}

void StageGateway::outcomeArrived(const protocol::StageJobOutcome &outcome)
{
    const auto found = m_pending.find(outcome.request);
    if (found == m_pending.end()) {
        // The job was cancelled while its end was on the way.
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

void StageGateway::onMessage(const framework::DaemonId &peer, const protocol::PeerMessage &message)
{
    if (const auto *job = std::get_if<protocol::StageJob>(&message)) {
        m_runner.submit(peer, *job);
    } else if (const auto *cancelled = std::get_if<protocol::StageJobCancel>(&message)) {
        m_runner.cancel(peer, cancelled->request);
    } else if (const auto *released = std::get_if<protocol::StageResultRelease>(&message)) {
        m_runner.release(released->results);
    } else if (const auto *outcome = std::get_if<protocol::StageJobOutcome>(&message)) {
        outcomeArrived(*outcome);
    }
}

void StageGateway::handOver()
{
    m_network.announce();
    m_runner.handOver();
}

void StageGateway::onDigests(const framework::DaemonId & /*peer*/,
                             const std::vector<protocol::TopicDigest> & /*digests*/,
                             std::optional<framework::TimePoint> /*asked*/)
{
    // Stages need none of the shared topics from a peer.
}

void StageGateway::onLinkLost(const framework::DaemonId &peer)
{
    std::size_t moved = 0;
    for (auto &[request, pending] : m_pending) {
        if (pending.coordinator == peer) {
            submit(pending);
            ++moved;
        }
    }
    if (moved > 0) {
        m_logger.warning("coordinator of stages lost; its jobs start anew elsewhere",
                         {{"peer", peer.value()}, {"jobs", std::to_string(moved)}});
        m_metrics.increment("lavendertally_stage_jobs_moved_total", {},
                            static_cast<std::int64_t>(moved));
    }
}

void StageGateway::onPeerLeft(const framework::DaemonId &peer)
{
    m_runner.cancelAll(peer);
}

} // namespace lavendertally::stages
