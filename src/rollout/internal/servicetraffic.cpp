#include "rollout/internal/servicetraffic.h"

#include "framework/hash.h"
#include "membership/types/backendserverentry.h"
#include "rollout/internal/answertimes.h"

#include <algorithm>
#include <utility>

namespace lavendertally::rollout {

namespace {

/// Servers that have left are remembered while they have calls; beyond this number those without
/// calls are forgotten.
constexpr std::size_t MaxIdleServers = 256;

/// \return a number in [0, 1)
double phase(std::uint64_t seed, const RolloutOrder &order)
{
    constexpr std::uint64_t Steps = 1U << 20;
    const std::uint64_t hash =
        framework::stableHash(order.service.value() + '/' + std::to_string(seed) + '/'
                              + std::to_string(order.id.offset.value()));
    return static_cast<double>(hash % Steps) / static_cast<double>(Steps);
}

} // namespace

ServiceTraffic::ServiceTraffic(framework::ServiceId service, const RolloutBounds &bounds,
                               std::uint64_t phaseSeed)
    : m_service(std::move(service)), m_bounds(bounds), m_phaseSeed(phaseSeed)
{ }

void ServiceTraffic::setServers(const std::vector<const membership::BackendServerEntry *> &servers)
{
    m_versions = ServiceVersions(servers);
    m_servers.clear();
    for (const membership::BackendServerEntry *server : servers) {
        m_servers.emplace_back(server->id, server->version);
    }
    m_isGuessed = m_isGuessed && m_versions.isMixed();
    updateEstablished();
    updateCanary();
    forgetIdleServers();
}

/// The version in use stays so until none of its servers is ready: one that is started beside it
/// and happens to have more servers for a while must not take over.
void ServiceTraffic::updateEstablished()
{
    if (m_step == protocol::RolloutStep::Completed && targetServers() > 0) {
        m_established = m_order->target;
        m_isGuessed = false;
        return;
    }
    if (m_established && m_versions.servers(*m_established) > 0) {
        return;
    }
    const auto target = m_order ? std::optional(m_order->target) : std::nullopt;
    if (const auto largest = m_versions.largest(target)) {
        m_established = largest;
        const std::size_t excluded = target ? m_versions.servers(*target) : 0;
        m_isGuessed = m_versions.otherServers(*largest) > excluded;
    }
}

/// Rendezvous hashing, so that all daemons choose the same servers.
void ServiceTraffic::updateCanary()
{
    m_canary.clear();
    if (!m_order) {
        return;
    }
    std::vector<std::pair<std::uint64_t, framework::BackendServerId>> scores;
    for (const auto &[server, version] : m_servers) {
        if (isTarget(version)) {
            scores.emplace_back(
                framework::stableHash(server.value() + '/' + m_order->target.value()), server);
        }
    }
    std::sort(scores.begin(), scores.end());
    if (!scores.empty()) {
        scores.resize(std::min(scores.size(), plan().canaryServers(scores.size())));
    }
    for (const auto &[score, server] : scores) {
        m_canary.insert(server);
    }
}

/// An order that names the same target in a later era of the store was written again after the
/// store came back from a copy; it is the one that stands.
bool ServiceTraffic::setOrder(const RolloutOrder &order, framework::TimePoint now)
{
    const bool isSame = m_order && m_order->target == order.target
        && (m_order->id == order.id || m_order->id.era < order.id.era);
    if (isSame) {
        m_order->id = order.id;
        m_order->duration = order.duration;
        return false;
    }
    m_order = order;
    ++m_rolloutNumber;
    m_ordered = now;
    m_step = protocol::RolloutStep::Waiting;
    m_budget = ExposureBudget(phase(m_phaseSeed, order));
    m_evidence.clear();
    m_judge = RolloutJudge();
    m_isStopped = false;
    m_elapsed = framework::Milliseconds(0);
    // Servers of the target may have outnumbered those of the version in use when it was guessed;
    // the version in use started first.
    if (m_isGuessed && m_established == order.target && !m_versions.isOldest(order.target)) {
        m_established.reset();
    }
    updateEstablished();
    updateCanary();
    return true;
}

void ServiceTraffic::clearOrder()
{
    m_order.reset();
    m_step = protocol::RolloutStep::Waiting;
    m_evidence.clear();
    m_canary.clear();
    updateEstablished();
}

bool ServiceTraffic::raise(protocol::RolloutStep step)
{
    if (step <= m_step || !m_order) {
        return false;
    }
    m_step = step;
    m_budget.beginStep();
    updateEstablished();
    return true;
}

void ServiceTraffic::tick(std::size_t daemons, framework::TimePoint now)
{
    m_daemons = std::max<std::size_t>(daemons, 1);
    m_elapsed = elapsed(now);
}

void ServiceTraffic::noteElapsed(framework::Milliseconds elapsed, framework::TimePoint now)
{
    m_ordered = std::min(m_ordered, now - elapsed);
}

bool ServiceTraffic::hasBudget() const
{
    return m_budget.allows(plan().share(m_step, targetServers()), plan().cap(),
                           plan().slack(m_elapsed) / static_cast<double>(m_daemons));
}

bool ServiceTraffic::admits(const membership::BackendServerEntry &server) const
{
    if (!m_order) {
        return !m_versions.isMixed() || server.version == m_established;
    }
    return isTarget(server.version) ? admitsTarget(server) : admitsOld(server);
}

bool ServiceTraffic::admitsTarget(const membership::BackendServerEntry &server) const
{
    switch (m_step) {
    case protocol::RolloutStep::RolledBack:
        return false;
    case protocol::RolloutStep::Everything:
    case protocol::RolloutStep::Completed:
        return true;
    case protocol::RolloutStep::Canary:
    case protocol::RolloutStep::FullLoad:
        if (!m_isStopped && m_canary.contains(server.id) && hasBudget()) {
            return true;
        }
        break;
    case protocol::RolloutStep::Waiting:
        break;
    }
    // An order may also name the version that is in use, or be the only choice.
    return m_established == m_order->target || otherServers() == 0;
}

bool ServiceTraffic::admitsOld(const membership::BackendServerEntry &server) const
{
    const bool isLast =
        m_step == protocol::RolloutStep::Everything || m_step == protocol::RolloutStep::Completed;
    // Without a server of the target, the others are the only choice.
    const bool isClosed = isLast && targetServers() > 0;
    return !isClosed && server.version == m_established;
}

bool ServiceTraffic::isPreferred(const membership::BackendServerEntry &server) const
{
    const bool isShared =
        m_step == protocol::RolloutStep::Canary || m_step == protocol::RolloutStep::FullLoad;
    return isShared && isTarget(server.version) && admitsTarget(server);
}

void ServiceTraffic::callStarted(const membership::BackendServerEntry &server)
{
    ServerCalls &calls = m_calls[server.id];
    calls.version = server.version;
    ++calls.inFlight;
    if (m_order) {
        m_budget.sent(isTarget(server.version));
    }
}

void ServiceTraffic::callEnded(const framework::BackendServerId &server)
{
    const auto found = m_calls.find(server);
    if (found != m_calls.end() && found->second.inFlight > 0) {
        --found->second.inFlight;
    }
}

void ServiceTraffic::forgetIdleServers()
{
    if (m_calls.size() > MaxIdleServers) {
        std::erase_if(m_calls, [](const auto &entry) { return entry.second.inFlight == 0; });
    }
}

std::optional<framework::SoftwareVersion>
ServiceTraffic::answered(const framework::BackendServerId &server, const framework::RouteId &route,
                         AnswerQuality quality, framework::Milliseconds time)
{
    const auto found = m_calls.find(server);
    if (!m_order || found == m_calls.end()) {
        return std::nullopt;
    }
    std::pair<framework::RouteId, bool> key(route, isTarget(found->second.version));
    if (!m_evidence.contains(key) && m_evidence.size() >= protocol::MaxRolloutEvidence) {
        // What does not fit into a report is not judged.
        return std::nullopt;
    }
    protocol::RolloutEvidence &evidence = m_evidence[key];
    evidence.route = key.first;
    evidence.isTarget = key.second;
    ++evidence.answers;
    if (quality == AnswerQuality::Failed) {
        ++evidence.failures;
    } else {
        ++evidence.times[AnswerTimes::classOf(time)];
    }
    return found->second.version;
}

std::optional<RolloutFinding> ServiceTraffic::judgeOwnEvidence(framework::TimePoint now)
{
    if (!m_order || m_isStopped) {
        return std::nullopt;
    }
    m_judge.observe(m_evidence, now);
    m_isStopped = m_judge.finding().has_value();
    return m_judge.finding();
}

std::uint64_t
ServiceTraffic::workAtOldServers(const std::set<framework::BackendServerId> &holders) const
{
    std::uint64_t count = 0;
    for (const auto &[server, calls] : m_calls) {
        if (!isTarget(calls.version)) {
            count += calls.inFlight + (holders.contains(server) ? 1 : 0);
        }
    }
    return count;
}

protocol::RolloutServiceReport
ServiceTraffic::report(const std::set<framework::BackendServerId> &holders,
                       framework::TimePoint now) const
{
    protocol::RolloutServiceReport report;
    report.service = m_service;
    report.target = m_order->target;
    report.order = m_order->id;
    report.step = m_step;
    report.elapsed = std::max(elapsed(now), framework::Milliseconds(0));
    report.atOldServers = workAtOldServers(holders);
    report.sent = m_budget.sent();
    report.sentToTarget = m_budget.sentToTarget();
    for (const auto &[key, evidence] : m_evidence) {
        report.evidence.push_back(evidence);
    }
    return report;
}

std::size_t ServiceTraffic::targetServers() const
{
    return m_order ? m_versions.servers(m_order->target) : 0;
}

std::size_t ServiceTraffic::otherServers() const
{
    return m_order ? m_versions.otherServers(m_order->target) : 0;
}

} // namespace lavendertally::rollout
