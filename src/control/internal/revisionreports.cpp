#include "control/internal/revisionreports.h"

#include "configuration/iconfigurationstore.h"
#include "configuration/types/configurationview.h"
#include "framework/iclock.h"
#include "membership/imembershiptracker.h"

#include <utility>

namespace lavendertally::control {

namespace {

constexpr framework::Milliseconds MaxReportAge{300000};
constexpr framework::Milliseconds CleanupInterval{10000};

} // namespace

RevisionReports::RevisionReports(ControlIdentity identity,
                                 const configuration::IConfigurationStore &store,
                                 const membership::IMembershipTracker &membership,
                                 const framework::IClock &clock)
    : m_identity(std::move(identity)), m_store(store), m_membership(membership), m_clock(clock)
{ }

void RevisionReports::note(const framework::DaemonId &daemon, framework::LogOffset revision)
{
    m_lastSeen[daemon] = LastSeen{revision, m_clock.now()};
    dropExpired();
}

void RevisionReports::dropExpired()
{
    const framework::TimePoint now = m_clock.now();
    if (now < m_nextCleanup) {
        return;
    }
    m_nextCleanup = now + CleanupInterval;
    std::erase_if(m_lastSeen,
                  [now](const auto &item) { return now - item.second.at > MaxReportAge; });
}

std::vector<RevisionReport> RevisionReports::reports() const
{
    std::map<framework::DaemonId, LastSeen> all = m_lastSeen;
    all[m_identity.daemon] = LastSeen{m_store.current()->revision, m_clock.now()};
    std::vector<RevisionReport> result;
    result.reserve(all.size());
    for (const auto &[daemon, seen] : all) {
        result.push_back(report(daemon, seen));
    }
    return result;
}

RevisionReport RevisionReports::report(const framework::DaemonId &daemon,
                                       const LastSeen &seen) const
{
    RevisionReport result;
    result.daemon = daemon;
    result.revision = seen.revision;
    result.age = m_clock.now() - seen.at;
    if (daemon == m_identity.daemon) {
        result.role = m_identity.role;
        result.zone = m_identity.zone;
        return result;
    }
    if (const auto entry = m_membership.find(framework::HostId(daemon.value()))) {
        const bool isEntry = entry->role == membership::HostRole::Entry;
        result.role = isEntry ? configuration::DaemonRole::Entry : configuration::DaemonRole::Host;
        result.zone = entry->zone;
    }
    return result;
}

} // namespace lavendertally::control
