#include "rollout/internal/rolloutexchange.h"

#include "framework/iclock.h"
#include "framework/ilogger.h"
#include "framework/imetrics.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "peers/idaemondirectory.h"
#include "peers/ipeernetwork.h"
#include "peers/leadingdaemons.h"
#include "rollout/internal/stepname.h"
#include "rollout/internal/versiontraffic.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lavendertally::rollout {

namespace {

using protocol::RolloutStep;

/// Time between two reports, and between two decisions, while rollouts run; grows with the number
/// of daemons, whose reports the leading ones have to read.
constexpr framework::Milliseconds ReportInterval{100};
constexpr std::int64_t DaemonsPerReportInterval = 64;
/// The same once all rollouts are final: a daemon that starts hears the step within this time.
constexpr framework::Milliseconds IdleInterval{500};
/// What has not changed is told again after this time: a message may be lost with its link.
constexpr framework::Milliseconds RepeatInterval{500};
/// Least time between two log lines of a rollout that stays in its step; reasons may alternate.
constexpr framework::Milliseconds MinLogInterval{1000};

bool isFinal(RolloutStep step)
{
    return step >= RolloutStep::RolledBack;
}

/// \return the report without the time that passes
protocol::RolloutReport withoutTime(protocol::RolloutReport report)
{
    for (protocol::RolloutServiceReport &service : report.services) {
        service.elapsed = framework::Milliseconds(0);
    }
    return report;
}

} // namespace

RolloutExchange::RolloutExchange(framework::DaemonId self, VersionTraffic &traffic,
                                 IRolloutStatusStore &statuses, const RolloutBounds &bounds,
                                 std::uint64_t start, peers::IPeerNetwork &network,
                                 const peers::IDaemonDirectory &directory,
                                 framework::IScheduler &scheduler, const framework::IClock &clock,
                                 framework::ILogger &logger, framework::IMetrics &metrics)
    : m_self(std::move(self)), m_traffic(traffic), m_bounds(bounds), m_start(start),
      m_network(network), m_directory(directory), m_scheduler(scheduler), m_clock(clock),
      m_logger(logger), m_metrics(metrics), m_statuses(statuses, scheduler, clock, logger, metrics)
{
    m_network.addObserver(*this);
    m_network.setTakesRollouts();
    m_traffic.onOrders([this] { onOrders(); });
}

RolloutExchange::~RolloutExchange()
{
    m_traffic.onOrders([] {});
}

void RolloutExchange::onOrders()
{
    for (const auto &[id, rolloutCase] : m_cases) {
        const ServiceTraffic *service = m_traffic.find(id);
        if (!service->order()) {
            m_statuses.forget(id);
        } else if (service->order()->id != rolloutCase.order) {
            m_statuses.readAgain();
        }
    }
    std::erase_if(m_cases, [this](const auto &each) {
        return !m_traffic.find(each.first)->order().has_value();
    });
    if (!m_timer) {
        m_timer = m_scheduler.callAfter(framework::Milliseconds(0), [this] { tick(); });
    }
}

bool RolloutExchange::isUsable(const framework::DaemonId &daemon,
                               const std::vector<framework::DaemonId> &takers) const
{
    if (daemon == m_self) {
        return m_network.isSelfAccepting();
    }
    return m_network.isAccepting(daemon)
        && std::find(takers.begin(), takers.end(), daemon) != takers.end();
}

bool RolloutExchange::isDecider() const
{
    const std::vector<framework::DaemonId> takers = m_network.rolloutTakers();
    const auto &ranking = m_directory.ranking();
    const std::size_t leading = std::min(ranking.size(), peers::LeadingDaemons);
    for (std::size_t index = 0; index < leading; ++index) {
        if (isUsable(ranking[index].daemon, takers)) {
            return ranking[index].daemon == m_self;
        }
    }
    return false;
}

/// \return the case of the order that stands, begun anew if a rollout has begun since
RolloutExchange::Case *RolloutExchange::findCase(const ServiceTraffic &service)
{
    if (!service.order()) {
        return nullptr;
    }
    const RolloutOrder &order = *service.order();
    auto found = m_cases.find(order.service);
    if (found == m_cases.end() || found->second.rolloutNumber != service.rolloutNumber()) {
        m_statuses.forget(order.service);
        const RolloutPlan plan(m_bounds, order.duration);
        found = m_cases
                    .insert_or_assign(
                        order.service,
                        Case{service.rolloutNumber(), order.id, RolloutCase(plan), {}, {}})
                    .first;
    }
    found->second.order = order.id;
    return &found->second;
}

void RolloutExchange::tick()
{
    m_timer.reset();
    const framework::TimePoint now = m_clock.now();
    protocol::RolloutReport own{m_start, {}};
    const auto services = m_traffic.ordered();
    const auto holders =
        services.empty() ? std::set<framework::BackendServerId>() : m_traffic.resultHolders();
    for (const framework::ServiceId &id : services) {
        ServiceTraffic &service = *m_traffic.find(id);
        service.tick(m_directory.limitSharerCount(), now);
        judgeOwn(service);
        const protocol::RolloutServiceReport mine = service.report(holders, now);
        findCase(service)->decisions.reports().merge(m_self, m_start, mine, now);
        if (own.services.size() < protocol::MaxRolloutServices) {
            own.services.push_back(mine);
        }
    }
    report(own);
    decideAll();
    if (!own.services.empty()) {
        scheduleTick();
    }
}

void RolloutExchange::scheduleTick()
{
    const auto daemons = static_cast<std::int64_t>(m_directory.limitSharerCount());
    framework::Milliseconds interval = ReportInterval * (1 + daemons / DaemonsPerReportInterval);
    constexpr std::int64_t MinReportsInLimit = 10;
    interval = std::min(
        interval,
        std::max(ReportInterval,
                 framework::Milliseconds(m_bounds.rollbackLimit.value() / MinReportsInLimit)));
    const auto services = m_traffic.ordered();
    const bool areAllFinal =
        std::all_of(services.begin(), services.end(), [this](const framework::ServiceId &id) {
            return isFinal(m_traffic.find(id)->step());
        });
    if (areAllFinal) {
        interval = std::max(interval, IdleInterval);
    }
    m_timer = m_scheduler.callAfter(interval, [this] { tick(); });
}

void RolloutExchange::judgeOwn(ServiceTraffic &service)
{
    const auto finding = service.judgeOwnEvidence(m_clock.now());
    if (finding) {
        m_logger.warning(
            "this gateway's own answers show that the new version is worse; it gets no "
            "more on the canary",
            {{"service", service.order()->service.value()},
             {"target", service.order()->target.value()},
             {"route", finding->route.value()},
             {"answers", std::to_string(finding->answers)},
             {"bad", std::to_string(finding->bad)}});
    }
}

void RolloutExchange::report(const protocol::RolloutReport &report)
{
    const framework::TimePoint now = m_clock.now();
    const protocol::RolloutReport timeless = withoutTime(report);
    if (report.services.empty()
        || (timeless == m_lastReport && now - m_reported < RepeatInterval)) {
        return;
    }
    m_lastReport = timeless;
    m_reported = now;
    const std::vector<framework::DaemonId> takers = m_network.rolloutTakers();
    const auto &ranking = m_directory.ranking();
    const std::size_t leading = std::min(ranking.size(), peers::LeadingDaemons);
    for (std::size_t index = 0; index < leading; ++index) {
        const framework::DaemonId &daemon = ranking[index].daemon;
        if (daemon != m_self && std::find(takers.begin(), takers.end(), daemon) != takers.end()) {
            m_network.send(daemon, report);
        }
    }
}

void RolloutExchange::decideAll()
{
    const framework::TimePoint now = m_clock.now();
    const bool decides = isDecider();
    if (decides != m_wasDecider) {
        m_wasDecider = decides;
        m_logger.info(decides ? "this gateway decides on rollouts"
                              : "another gateway decides on rollouts");
    }
    if (decides && !m_cases.empty()) {
        m_statuses.start();
    } else {
        m_statuses.stop();
    }
    for (auto &[id, rolloutCase] : m_cases) {
        ServiceTraffic &service = *m_traffic.find(id);
        rolloutCase.decisions.weigh(now);
        if (decides && service.order()) {
            adoptStatus(service);
            decide(service, rolloutCase);
        }
    }
    if (decides) {
        announceSteps(now - m_announced >= RepeatInterval);
    }
}

/// What is final in the store stays so, whoever wrote it.
void RolloutExchange::adoptStatus(ServiceTraffic &service)
{
    const auto known = m_statuses.known(*service.order());
    if (known && known->isFinal()) {
        const bool isCompleted = known->state == RolloutState::Completed;
        if (service.raise(isCompleted ? RolloutStep::Completed : RolloutStep::RolledBack)) {
            m_logger.info("status in the store says that a rollout is over",
                          {{"service", known->service.value()},
                           {"target", known->target.value()},
                           {"step", stepName(service.step())}});
            showStep(service);
        }
    }
}

RolloutSituation RolloutExchange::situation(const ServiceTraffic &service) const
{
    RolloutSituation situation;
    situation.step = service.step();
    situation.elapsed = service.elapsed(m_clock.now());
    situation.targetServers = service.targetServers();
    situation.otherServers = service.otherServers();
    situation.isTargetEstablished = service.isTargetEstablished();
    for (const peers::DaemonAddress &daemon : m_directory.ranking()) {
        situation.registered.insert(daemon.daemon);
    }
    return situation;
}

void RolloutExchange::decide(ServiceTraffic &service, Case &rolloutCase)
{
    const RolloutDecision decision =
        rolloutCase.decisions.decide(situation(service), m_clock.now());
    const bool isBegun = decision.step > RolloutStep::Waiting;
    if (isBegun && !isFinal(decision.step) && !m_statuses.isDecidable()) {
        return;
    }
    if (decision.step == RolloutStep::Completed && service.step() != RolloutStep::Completed) {
        // Announced once the store has acknowledged it; see adoptStatus().
        m_statuses.want({service.order()->service, service.order()->target, RolloutState::Completed,
                         service.order()->id});
        return;
    }
    follow(service, rolloutCase, decision);
}

void RolloutExchange::follow(ServiceTraffic &service, Case &rolloutCase,
                             const RolloutDecision &decision)
{
    const bool isRaised = service.raise(decision.step);
    const framework::TimePoint now = m_clock.now();
    const bool hasNewReason =
        decision.reason != rolloutCase.loggedReason && now - rolloutCase.logged >= MinLogInterval;
    if (isRaised || hasNewReason) {
        rolloutCase.loggedReason = decision.reason;
        rolloutCase.logged = now;
        logStep(service, rolloutCase, decision);
        showStep(service);
    }
    if (decision.step == RolloutStep::Waiting) {
        return;
    }
    const RolloutState state = decision.step == RolloutStep::RolledBack ? RolloutState::RolledBack
        : decision.step == RolloutStep::Completed                       ? RolloutState::Completed
                                                                        : RolloutState::Running;
    m_statuses.want(
        {service.order()->service, service.order()->target, state, service.order()->id});
}

void RolloutExchange::logStep(const ServiceTraffic &service, const Case &rolloutCase,
                              const RolloutDecision &decision) const
{
    const RolloutCase &decisions = rolloutCase.decisions;
    const RolloutJudge &judge = decisions.judge();
    const auto &finding = judge.finding();
    const framework::TimePoint now = m_clock.now();
    m_logger.info(
        "rollout",
        {{"service", service.order()->service.value()},
         {"target", service.order()->target.value()},
         {"step", stepName(decision.step)},
         {"reason", decision.reason},
         {"elapsed_ms", std::to_string(service.elapsed(now).value())},
         {"sent", std::to_string(decisions.reports().sent())},
         {"sent_to_target", std::to_string(decisions.reports().sentToTarget())},
         {"answers", std::to_string(judge.answers())},
         {"failures", std::to_string(judge.failures())},
         {"slow", std::to_string(judge.slowAnswers())},
         {"bad_kind",
          !finding                                              ? "none"
              : finding->kind == RolloutFinding::Kind::Failures ? "failures"
                                                                : "slow answers"},
         {"bad_route", finding ? finding->route.value() : ""},
         {"bad_answers", finding ? std::to_string(finding->bad) : "0"},
         {"evidence_age_ms", std::to_string((now - decisions.reports().newest()).value())},
         {"awaited", decision.awaited.empty() ? "" : decision.awaited.front().value()},
         {"awaited_gateways", std::to_string(decision.awaited.size())}});
}

void RolloutExchange::showStep(const ServiceTraffic &service) const
{
    m_metrics.setGauge("lavendertally_rollout_step",
                       {{"service", service.order()->service.value()},
                        {"version", service.order()->target.value()}},
                       static_cast<std::int64_t>(service.step()));
}

void RolloutExchange::announceSteps(bool isDue)
{
    protocol::RolloutSteps steps;
    for (const framework::ServiceId &id : m_traffic.ordered()) {
        const ServiceTraffic &service = *m_traffic.find(id);
        if (service.step() > RolloutStep::Waiting
            && steps.services.size() < protocol::MaxRolloutServices) {
            steps.services.push_back({id, service.order()->target, service.order()->id,
                                      service.step(), framework::Milliseconds(0)});
        }
    }
    if (steps.services.empty() || (steps == m_lastSteps && !isDue)) {
        return;
    }
    m_lastSteps = steps;
    m_announced = m_clock.now();
    for (protocol::RolloutServiceStep &step : steps.services) {
        step.elapsed = m_traffic.find(step.service)->elapsed(m_announced);
    }
    for (const framework::DaemonId &peer : m_network.rolloutTakers()) {
        m_network.send(peer, steps);
    }
}

void RolloutExchange::onMessage(const framework::DaemonId &peer,
                                const protocol::PeerMessage &message)
{
    if (const auto *reported = std::get_if<protocol::RolloutReport>(&message)) {
        onReport(peer, *reported);
    } else if (const auto *steps = std::get_if<protocol::RolloutSteps>(&message)) {
        onSteps(peer, *steps);
    }
}

void RolloutExchange::onReport(const framework::DaemonId &peer,
                               const protocol::RolloutReport &report)
{
    const framework::TimePoint now = m_clock.now();
    for (const protocol::RolloutServiceReport &each : report.services) {
        ServiceTraffic *service = m_traffic.find(each.service);
        if (service == nullptr || !service->order() || service->order()->target != each.target
            || service->order()->id != each.order) {
            continue;
        }
        service->noteElapsed(each.elapsed, now);
        findCase(*service)->decisions.reports().merge(peer, report.start, each, now);
    }
}

void RolloutExchange::onSteps(const framework::DaemonId &peer, const protocol::RolloutSteps &steps)
{
    const framework::TimePoint now = m_clock.now();
    for (const protocol::RolloutServiceStep &each : steps.services) {
        ServiceTraffic *service = m_traffic.find(each.service);
        if (service == nullptr || !service->order() || service->order()->target != each.target
            || service->order()->id != each.order) {
            continue;
        }
        service->noteElapsed(each.elapsed, now);
        if (service->raise(each.step)) {
            m_logger.info("rollout goes on at this gateway",
                          {{"service", each.service.value()},
                           {"target", each.target.value()},
                           {"step", stepName(each.step)},
                           {"decider", peer.value()}});
            showStep(*service);
        }
    }
}

void RolloutExchange::onDigests(const framework::DaemonId & /*peer*/,
                                const std::vector<protocol::TopicDigest> & /*digests*/,
                                std::optional<framework::TimePoint> /*pingSent*/)
{
    // Orders come with the operators' topic.
}

void RolloutExchange::onCrashFingerprint(const framework::DaemonId & /*peer*/,
                                         protocol::EvidenceFingerprint /*fingerprint*/)
{
    // Concerns prompt parts only.
}

void RolloutExchange::onOutboundLinkLost(const framework::DaemonId & /*peer*/)
{
    // The next tick finds the decider.
}

void RolloutExchange::onInboundLinkClosed(const framework::DaemonId & /*peer*/)
{
    // The peer may still have requests at old servers; its registration tells whether it is up.
}

void RolloutExchange::onClosedByPeer(const framework::DaemonId &peer)
{
    for (auto &[id, rolloutCase] : m_cases) {
        rolloutCase.decisions.reports().noteClosed(peer, m_clock.now());
    }
}

} // namespace lavendertally::rollout
