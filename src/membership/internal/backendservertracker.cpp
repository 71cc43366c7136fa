#include "membership/internal/backendservertracker.h"

#include "framework/ilogger.h"

#include <utility>

namespace lavendertally::membership {

namespace {

/// Time after the recovery of the registry within which live backend servers have registered again;
/// the platform guarantees about this time.
constexpr framework::Milliseconds RegistrationGracePeriod{2000};

/// A later end of the cold start by at most this time means the same cold start: the end is derived
/// from the arrival of the registration, and its delay varies.
constexpr framework::Milliseconds ColdStartTolerance{1500};

const char *stateName(BackendServerState state)
{
    return state == BackendServerState::Ready ? "ready" : "draining";
}

} // namespace

BackendServerTracker::BackendServerTracker(framework::ILogger &logger) : m_logger(logger) { }

bool BackendServerTracker::admits(const BackendServerEntry &entry) const
{
    return entry.state == BackendServerState::Ready && !m_leaving.contains(entry.lifetime())
        && !m_zonesOut.contains(entry.zone);
}

const std::vector<const BackendServerEntry *> &
BackendServerTracker::admitting(const framework::ServiceId &service) const
{
    const auto [position, isNew] = m_admitting.try_emplace(service);
    if (isNew) {
        for (const auto &[id, entry] : m_entries) {
            if (entry.service == service && admits(entry)) {
                position->second.push_back(&entry);
            }
        }
    }
    return position->second;
}

const BackendServerEntry *
BackendServerTracker::findAdmitting(const framework::BackendServerId &server) const
{
    const auto found = m_entries.find(server);
    return found != m_entries.end() && admits(found->second) ? &found->second : nullptr;
}

bool BackendServerTracker::isReady(const framework::BackendServerId &server) const
{
    const auto found = m_entries.find(server);
    return found != m_entries.end() && found->second.state == BackendServerState::Ready
        && !m_leaving.contains(found->second.lifetime());
}

bool BackendServerTracker::isZoneOut(const framework::AvailabilityZoneId &zone) const
{
    return m_zonesOut.contains(zone);
}

void BackendServerTracker::changed()
{
    m_generation = m_generation.next();
    m_admitting.clear();
}

bool BackendServerTracker::put(const BackendServerEntry &entry)
{
    m_hasSynced = true;
    m_missing.erase(entry.id);
    const auto found = m_entries.find(entry.id);
    const bool isNew = found == m_entries.end();
    const bool differs = isNew || found->second.state != entry.state
        || found->second.endpoint != entry.endpoint || found->second.service != entry.service
        || found->second.zone != entry.zone || found->second.version != entry.version
        || found->second.incarnation != entry.incarnation;
    if (!differs) {
        const bool isChange = found->second.slots != entry.slots
            || entry.coldUntil > found->second.coldUntil + ColdStartTolerance;
        found->second = entry;
        return isChange;
    }
    m_entries[entry.id] = entry;
    changed();
    m_logger.info("backend server registered or updated",
                  {{"backend_server", entry.id.value()},
                   {"service", entry.service.value()},
                   {"zone", entry.zone.value()},
                   {"endpoint", entry.endpoint.toString()},
                   {"state", stateName(entry.state)},
                   {"leaves", m_leaving.contains(entry.lifetime()) ? "yes" : "no"}});
    return true;
}

void BackendServerTracker::remove(const framework::BackendServerId &server,
                                  framework::TimePoint now)
{
    m_hasSynced = true;
    if (!m_entries.contains(server)) {
        return;
    }
    if (now < m_graceEnd) {
        m_missing.insert(server);
        return;
    }
    drop(server, "registration removed");
}

void BackendServerTracker::registryRecovered(framework::TimePoint now)
{
    m_graceEnd = now + RegistrationGracePeriod;
}

void BackendServerTracker::retainOnly(const std::set<framework::BackendServerId> &servers,
                                      framework::TimePoint now)
{
    m_hasSynced = true;
    std::vector<framework::BackendServerId> absent;
    for (const auto &[id, entry] : m_entries) {
        if (!servers.contains(id)) {
            absent.push_back(id);
        }
    }
    for (const framework::BackendServerId &id : absent) {
        remove(id, now);
    }
}

void BackendServerTracker::noteLeaving(const ServerLifetime &server)
{
    if (!m_leaving.add(server)) {
        return;
    }
    m_leaving.purge(
        [this](const framework::BackendServerId &id) { return m_entries.contains(id); });
    changed();
    m_logger.info("backend server says that it leaves; it gets no more work",
                  {{"backend_server", server.id.value()},
                   {"incarnation", std::to_string(server.incarnation.value())}});
}

void BackendServerTracker::setZonesOut(std::set<framework::AvailabilityZoneId> zones)
{
    if (zones == m_zonesOut) {
        return;
    }
    m_zonesOut = std::move(zones);
    changed();
    std::string names;
    for (const framework::AvailabilityZoneId &zone : m_zonesOut) {
        names += (names.empty() ? "" : ",") + zone.value();
    }
    m_logger.info("availability zones out of service changed", {{"zones", names}});
}

void BackendServerTracker::expire(framework::TimePoint now)
{
    if (now < m_graceEnd) {
        return;
    }
    for (const framework::BackendServerId &server : std::exchange(m_missing, {})) {
        drop(server, "registration lapsed and was not renewed");
    }
}

void BackendServerTracker::drop(const framework::BackendServerId &server, const char *reason)
{
    if (m_entries.erase(server) == 0) {
        return;
    }
    m_leaving.registrationEnded(server);
    changed();
    m_logger.info("backend server removed; it gets no more work",
                  {{"backend_server", server.value()}, {"reason", reason}});
}

} // namespace lavendertally::membership
