#include "rollout/internal/gatewayreports.h"

#include <algorithm>

namespace lavendertally::rollout {

namespace {

/// A daemon that is up and can be heard has reported within this time; it reports every 500 ms at
/// least. One that is not registered any more is waited for so long after its last report, since it
/// may be shutting down.
constexpr framework::Milliseconds ReportLifetime{2000};

bool isSealed(const protocol::RolloutServiceReport &report)
{
    return report.step == protocol::RolloutStep::Everything
        || report.step == protocol::RolloutStep::Completed;
}

} // namespace

void GatewayReports::add(EvidenceTotals &totals, const protocol::RolloutEvidence &evidence)
{
    protocol::RolloutEvidence &total = totals[{evidence.route, evidence.isTarget}];
    total.route = evidence.route;
    total.isTarget = evidence.isTarget;
    addEvidence(total, evidence);
}

void GatewayReports::merge(const framework::DaemonId &daemon, std::uint64_t start,
                           const protocol::RolloutServiceReport &report, framework::TimePoint now)
{
    Daemon &known = m_daemons[daemon];
    if (known.start != start) {
        for (const protocol::RolloutEvidence &evidence : known.report.evidence) {
            add(known.ended, evidence);
        }
        known.endedSent += known.report.sent;
        known.endedToTarget += known.report.sentToTarget;
        known.report = {};
    }
    // Messages of one link keep their order, but those of two links of a peer need not.
    if (report.sent < known.report.sent) {
        return;
    }
    known.start = start;
    known.report = report;
    known.reported = now;
    known.closed.reset();
}

void GatewayReports::noteClosed(const framework::DaemonId &daemon, framework::TimePoint now)
{
    const auto found = m_daemons.find(daemon);
    if (found != m_daemons.end()) {
        found->second.closed = now;
    }
}

/// The time counts from when the end of the link was noticed: a daemon that was frozen finds all
/// its links closed, and hears its peers again soon.
bool GatewayReports::hasEnded(const Daemon &daemon, framework::TimePoint now)
{
    return daemon.closed && now - *daemon.closed >= ReportLifetime;
}

EvidenceTotals GatewayReports::totals() const
{
    EvidenceTotals totals;
    for (const auto &[id, daemon] : m_daemons) {
        for (const auto &[key, evidence] : daemon.ended) {
            add(totals, evidence);
        }
        for (const protocol::RolloutEvidence &evidence : daemon.report.evidence) {
            add(totals, evidence);
        }
    }
    return totals;
}

std::uint64_t GatewayReports::sent() const
{
    std::uint64_t sum = 0;
    for (const auto &[id, daemon] : m_daemons) {
        sum += daemon.endedSent + daemon.report.sent;
    }
    return sum;
}

std::uint64_t GatewayReports::sentToTarget() const
{
    std::uint64_t sum = 0;
    for (const auto &[id, daemon] : m_daemons) {
        sum += daemon.endedToTarget + daemon.report.sentToTarget;
    }
    return sum;
}

protocol::RolloutStep GatewayReports::highestStep() const
{
    protocol::RolloutStep highest = protocol::RolloutStep::Waiting;
    for (const auto &[id, daemon] : m_daemons) {
        highest = std::max(highest, daemon.report.step);
    }
    return highest;
}

framework::TimePoint GatewayReports::newest() const
{
    framework::TimePoint newest;
    for (const auto &[id, daemon] : m_daemons) {
        newest = std::max(newest, daemon.reported);
    }
    return newest;
}

bool GatewayReports::hasMajority(const std::set<framework::DaemonId> &registered,
                                 framework::TimePoint now) const
{
    std::size_t heard = 0;
    std::size_t ended = 0;
    for (const auto &[id, daemon] : m_daemons) {
        if (registered.contains(id)) {
            heard += now - daemon.reported < ReportLifetime ? 1 : 0;
            ended += hasEnded(daemon, now) ? 1 : 0;
        }
    }
    return 2 * heard > registered.size() - ended;
}

std::vector<framework::DaemonId>
GatewayReports::daemonsAtOldServers(const std::set<framework::DaemonId> &registered,
                                    framework::TimePoint now) const
{
    std::vector<framework::DaemonId> result;
    for (const auto &[id, daemon] : m_daemons) {
        const bool isUp = now - daemon.reported < ReportLifetime
            || (registered.contains(id) && !hasEnded(daemon, now));
        if (isUp && (!isSealed(daemon.report) || daemon.report.atOldServers > 0)) {
            result.push_back(id);
        }
    }
    for (const framework::DaemonId &id : registered) {
        if (!m_daemons.contains(id)) {
            result.push_back(id);
        }
    }
    return result;
}

} // namespace lavendertally::rollout
