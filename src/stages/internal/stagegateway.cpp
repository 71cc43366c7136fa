#include "stages/internal/stagegateway.h"

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

/// Longest time for which a job waits for its coordinator to be known: that for a new link.
constexpr framework::Milliseconds MaxHold{600};
constexpr framework::Milliseconds HoldInterval{50};

/// Short against a call of a stage.
constexpr framework::Milliseconds HoldingsInterval{100};

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
    m_directory.onChange([this] { connect(); });
    connect();
}

StageGateway::~StageGateway() = default;

void StageGateway::connect()
{
    m_network.connectTo(m_directory.ranking());
}

std::vector<CoordinatorCandidate> StageGateway::candidates() const
{
    std::vector<CoordinatorCandidate> result;
    for (const peers::DaemonAddress &address : m_directory.ranking()) {
        if (result.size() == peers::LeadingDaemons) {
            break;
        }
        const framework::DaemonId &daemon = address.daemon;
        const bool isSelf = daemon == m_self;
        const bool isUsable = isSelf ? m_network.isSelfAccepting() : m_network.isAccepting(daemon);
        const bool isNew = !isSelf && m_network.isInStartupGrace(daemon);
        if (isUsable || isNew) {
            result.push_back({daemon, isUsable, isNew, m_network.startTimeOf(daemon)});
        }
    }
    return result;
}

/// \return the coordinator, or nothing while it cannot be told
std::optional<framework::DaemonId> StageGateway::findCoordinator()
{
    std::optional<framework::DaemonId> chosen = chooseCoordinator(candidates(), m_coordinator);
    if (chosen && *chosen != m_coordinator) {
        m_logger.info("coordinator of stages chosen",
                      {{"coordinator", chosen->value()}, {"before", m_coordinator.value()}});
        m_coordinator = *chosen;
        tellHoldings();
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

/// Holds the job while the coordinator cannot be told, for a short time: a daemon that coordinates
/// beside the right one only gets in its way.
void StageGateway::submit(PendingJob &pending)
{
    const std::optional<framework::DaemonId> coordinator = findCoordinator();
    const framework::Milliseconds elapsed = m_clock.now() - pending.started;
    pending.isHeld = !coordinator && elapsed < MaxHold;
    if (pending.isHeld) {
        m_holdTimer = m_scheduler.callAfter(HoldInterval, [this] { submitHeld(); });
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
    m_runner.submit(m_self, job);
}

void StageGateway::submitHeld()
{
    std::vector<framework::RequestId> held;
    for (const auto &[request, pending] : m_pending) {
        if (pending.isHeld) {
            held.push_back(request);
        }
    }
    for (const framework::RequestId &request : held) {
        // Submitting one job may end others.
        const auto found = m_pending.find(request);
        if (found != m_pending.end()) {
            submit(found->second);
        }
    }
}

void StageGateway::cancel(const framework::RequestId &request)
{
    auto node = m_pending.extract(request);
    if (node.empty() || node.mapped().isHeld) {
        return;
    }
    const framework::DaemonId &coordinator = node.mapped().coordinator;
    if (coordinator == m_self) {
        m_runner.cancel(m_self, request);
        return;
    }
    m_network.send(coordinator, protocol::StageJobCancel{request});
}

/// Results are released at the coordinator that keeps account of them.
void StageGateway::release(const std::vector<framework::StageResultId> &results)
{
    std::map<framework::DaemonId, std::vector<framework::StageResultId>> byMaker;
    for (const framework::StageResultId &result : results) {
        const auto maker = m_makers.extract(result);
        byMaker[maker.empty() ? m_self : maker.mapped()].push_back(result);
    }
    for (const auto &[maker, group] : byMaker) {
        const bool sent =
            maker != m_self && m_network.send(maker, protocol::StageResultRelease{group});
        if (!sent) {
            m_runner.release(group);
        }
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
            outcomeArrived(m_self, each);
        }
    });
}

void StageGateway::outcomeArrived(const framework::DaemonId &maker,
                                  const protocol::StageJobOutcome &outcome)
{
    for (const protocol::StageResultPlace &place : outcome.results) {
        m_makers[place.id] = maker;
    }
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
        outcomeArrived(peer, *outcome);
    } else if (const auto *holdings = std::get_if<protocol::StageHoldings>(&message)) {
        holdingsArrived(peer, *holdings);
    }
}

/// Only the chosen coordinator answers, so that the exchange ends with the other one's jobs.
void StageGateway::holdingsArrived(const framework::DaemonId &peer,
                                   const protocol::StageHoldings &holdings)
{
    m_runner.setForeign(peer, holdings);
    if (m_coordinator == m_self) {
        m_besideMe.insert(peer);
        tellHoldings();
    }
}

/// While this daemon and another one both coordinate jobs, each tells the other what it has at
/// backend servers, so that they do not get in each other's way.
void StageGateway::tellHoldings()
{
    if (m_holdingsTimer) {
        return;
    }
    m_holdingsTimer = m_scheduler.callAfter(HoldingsInterval, [this] {
        m_holdingsTimer.reset();
        const bool isBeside = !m_coordinator.isEmpty() && m_coordinator != m_self;
        std::set<framework::DaemonId> peers = std::exchange(m_besideMe, {});
        if (isBeside && m_runner.hasJobs()) {
            peers.insert(m_coordinator);
            tellHoldings();
        }
        const protocol::StageHoldings holdings = m_runner.holdings();
        for (const framework::DaemonId &peer : peers) {
            m_network.send(peer, holdings);
        }
    });
}

void StageGateway::handOver()
{
    m_network.announce();
    m_runner.handOver();
    findCoordinator();
    tellHoldings();
}

void StageGateway::onDigests(const framework::DaemonId & /*peer*/,
                             const std::vector<protocol::TopicDigest> & /*digests*/,
                             std::optional<framework::TimePoint> /*asked*/)
{
    // Stages need none of the shared topics from a peer.
}

void StageGateway::onOutboundLinkLost(const framework::DaemonId &peer)
{
    std::size_t moved = 0;
    for (auto &[request, pending] : m_pending) {
        if (!pending.isHeld && pending.coordinator == peer) {
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

void StageGateway::onInboundLinkClosed(const framework::DaemonId &peer)
{
    m_runner.cancelAll(peer);
}

} // namespace lavendertally::stages
