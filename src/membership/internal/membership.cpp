#include "membership/internal/membership.h"

#include "configuration/types/configurationview.h"

#include <algorithm>

namespace lavendertally::membership {

namespace {

constexpr std::uint64_t Percent = 100;

template <typename Map>
std::size_t eraseExpired(Map &holds, framework::TimePoint now)
{
    return std::erase_if(holds, [now](const auto &item) { return item.second.until <= now; });
}

} // namespace

Membership::Membership(const MembershipLimits &limits) : m_limits(limits) { }

std::vector<HostEntry> Membership::admittingHosts(const framework::ServiceId &service) const
{
    std::vector<HostEntry> result;
    for (const auto &[id, entry] : m_hosts) {
        const bool serves = entry.role == HostRole::Backend && entry.service == service;
        if (serves && exclusion(entry) == HostExclusion::None) {
            result.push_back(entry);
        }
    }
    return result;
}

bool Membership::mayReceiveWork(const framework::HostId &host,
                                const framework::AvailabilityZoneId &zone) const
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end() || found->second.zone != zone) {
        return false;
    }
    return exclusion(found->second) == HostExclusion::None;
}

std::vector<HostEntry> Membership::entryHosts() const
{
    std::vector<HostEntry> result;
    for (const auto &[id, entry] : m_hosts) {
        if (entry.role == HostRole::Entry) {
            result.push_back(entry);
        }
    }
    return result;
}

void Membership::setHostList(const std::vector<HostEntry> &entries, framework::TimePoint now)
{
    expireHolds(now);
    if (!mayBeTruncated(entries, now)) {
        dropMissing(entries);
    }
    for (const HostEntry &entry : entries) {
        HostEntry &known = m_hosts[entry.id];
        if (known != entry) {
            known = entry;
            changed();
        }
        if (entry.state == HostState::Leaving) {
            recordLeaving(entry, m_limits.leavingHold, now);
        }
    }
}

bool Membership::mayBeTruncated(const std::vector<HostEntry> &entries, framework::TimePoint now)
{
    const bool isShort = entries.size() * Percent < m_hosts.size() * m_limits.shortListPercent;
    if (!isShort) {
        m_shortRun.reset();
        return false;
    }
    if (!m_shortRun) {
        m_shortRun = ShortRun{now, 0};
    }
    ++m_shortRun->count;
    const bool confirmed = m_shortRun->count >= m_limits.shortListCount
        && now - m_shortRun->since >= m_limits.shortListTime;
    if (confirmed) {
        m_shortRun.reset();
    }
    return !confirmed;
}

void Membership::dropMissing(const std::vector<HostEntry> &entries)
{
    std::set<framework::HostId> listed;
    for (const HostEntry &entry : entries) {
        listed.insert(entry.id);
    }
    const auto isMissing = [&](const auto &item) { return !listed.contains(item.first); };
    if (std::erase_if(m_hosts, isMissing) > 0) {
        changed();
    }
}

void Membership::setOutOfService(const configuration::ConfigurationView &view,
                                 framework::TimePoint now)
{
    if (view.revision < m_revision) {
        return;
    }
    m_revision = view.revision;
    m_zonesOut = view.zonesOutOfService;
    m_hostsOut = view.hostsOutOfService;
    releaseHoldsOfReachedRevisions();
    changed();
    expireHolds(now);
}

void Membership::releaseHoldsOfReachedRevisions()
{
    const auto reached = [this](const auto &item) {
        return item.second.endsAtRevision && item.second.revision <= m_revision;
    };
    std::erase_if(m_heldHosts, reached);
    std::erase_if(m_heldZones, reached);
}

void Membership::recordRefusal(const framework::HostId &host, protocol::RefusalReason reason,
                               framework::LogOffset revision, framework::TimePoint now)
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end()) {
        return;
    }
    if (reason == protocol::RefusalReason::Leaving) {
        recordLeaving(found->second, m_limits.refusedLeavingHold, now);
        return;
    }
    const bool isOut =
        reason == protocol::RefusalReason::ZoneOut || reason == protocol::RefusalReason::HostOut;
    if (isOut) {
        recordOutOfServiceRefusal(found->second, reason, revision, now);
    }
}

void Membership::recordLeaving(const HostEntry &entry, framework::Milliseconds hold,
                               framework::TimePoint now)
{
    LeavingHost &leaving = m_leaving[entry.id];
    const bool sameHost = leaving.http == entry.http;
    if (!sameHost) {
        changed();
    }
    const framework::TimePoint until = now + hold;
    leaving.until = sameHost ? std::max(leaving.until, until) : until;
    leaving.http = entry.http;
}

void Membership::recordOutOfServiceRefusal(const HostEntry &entry, protocol::RefusalReason reason,
                                           framework::LogOffset revision, framework::TimePoint now)
{
    changed();
    if (revision <= m_revision) {
        // The host process has no newer configuration than this process. It catches up when the
        // next message tells it the newer revision.
        m_heldHosts[entry.id] = Hold{revision, now + m_limits.olderRefusalHold, false};
        return;
    }
    const Hold hold{revision, now + m_limits.newerRefusalHold, true};
    if (reason == protocol::RefusalReason::ZoneOut) {
        m_heldZones[entry.zone] = hold;
    } else {
        m_heldHosts[entry.id] = hold;
    }
}

void Membership::expireHolds(framework::TimePoint now)
{
    const std::size_t expired = eraseExpired(m_leaving, now) + eraseExpired(m_heldHosts, now)
        + eraseExpired(m_heldZones, now);
    if (expired > 0) {
        changed();
    }
}

std::vector<HostStatus> Membership::hosts() const
{
    std::vector<HostStatus> result;
    result.reserve(m_hosts.size());
    for (const auto &[id, entry] : m_hosts) {
        result.push_back(HostStatus{entry, exclusion(entry)});
    }
    return result;
}

std::optional<HostEntry> Membership::find(const framework::HostId &host) const
{
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() ? std::nullopt : std::optional(found->second);
}

bool Membership::isLeaving(const framework::HostId &host) const
{
    const auto found = m_hosts.find(host);
    return found != m_hosts.end() && exclusion(found->second) == HostExclusion::Leaving;
}

HostExclusion Membership::exclusion(const HostEntry &entry) const
{
    const auto leaving = m_leaving.find(entry.id);
    const bool recordedLeaving = leaving != m_leaving.end() && leaving->second.http == entry.http;
    if (recordedLeaving || entry.state == HostState::Leaving) {
        return HostExclusion::Leaving;
    }
    if (m_zonesOut.contains(entry.zone)) {
        return HostExclusion::ZoneOut;
    }
    if (m_hostsOut.contains(entry.id)) {
        return HostExclusion::HostOut;
    }
    const bool held = m_heldHosts.contains(entry.id) || m_heldZones.contains(entry.zone);
    return held ? HostExclusion::Refused : HostExclusion::None;
}

} // namespace lavendertally::membership
