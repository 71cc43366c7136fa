#pragma once

#include "membership/ibackendservertracker.h"
#include "membership/internal/leavingservers.h"

#include <map>
#include <unordered_map>

namespace lavendertally::framework {
class ILogger;
}

namespace lavendertally::membership {

/// Keeps the registered backend servers in memory and caches the admitting ones of each service.
class BackendServerTracker final : public IBackendServerTracker
{
public:
    explicit BackendServerTracker(framework::ILogger &logger);

    MembershipGeneration generation() const override { return m_generation; }
    const std::vector<const BackendServerEntry *> &
    admitting(const framework::ServiceId &service) const override;
    const BackendServerEntry *
    findAdmitting(const framework::BackendServerId &server) const override;
    bool isReady(const framework::BackendServerId &server) const override;
    bool isZoneOut(const framework::AvailabilityZoneId &zone) const override;

    bool put(const BackendServerEntry &entry) override;
    void remove(const framework::BackendServerId &server, framework::TimePoint now) override;
    void registryRecovered(framework::TimePoint now) override;
    void retainOnly(const std::set<framework::BackendServerId> &servers,
                    framework::TimePoint now) override;
    void noteLeaving(const ServerLifetime &server) override;
    void setZonesOut(std::set<framework::AvailabilityZoneId> zones) override;
    void expire(framework::TimePoint now) override;
    bool hasSynced() const override { return m_hasSynced; }

private:
    void changed();
    void drop(const framework::BackendServerId &server, const char *reason);
    bool admits(const BackendServerEntry &entry) const;

    framework::ILogger &m_logger;
    bool m_hasSynced = false;
    MembershipGeneration m_generation;
    std::map<framework::BackendServerId, BackendServerEntry> m_entries;
    LeavingServers m_leaving;
    std::set<framework::AvailabilityZoneId> m_zonesOut;
    /// End of the grace period in which removed entries are kept.
    framework::TimePoint m_graceEnd;
    /// Entries removed during the grace period; a new registration takes them out again.
    std::set<framework::BackendServerId> m_missing;
    mutable std::unordered_map<framework::ServiceId, std::vector<const BackendServerEntry *>>
        m_admitting;
};

} // namespace lavendertally::membership
