#pragma once

#include "membership/imembershiptracker.h"
#include "membership/types/membershiplimits.h"

#include <cstdint>
#include <map>
#include <set>

namespace lavendertally::membership {

/// Keeps the membership of one process in memory, without I/O of its own.
class Membership final : public IMembershipTracker
{
public:
    explicit Membership(const MembershipLimits &limits);

    std::vector<HostEntry> admittingHosts(const framework::ServiceId &service) const override;
    bool mayReceiveWork(const framework::HostId &host,
                        const framework::AvailabilityZoneId &zone) const override;
    std::vector<HostEntry> entryHosts() const override;
    MembershipGeneration generation() const override { return m_generation; }

    void setHostList(const std::vector<HostEntry> &entries, framework::TimePoint now) override;
    void setOutOfService(const configuration::ConfigurationView &view,
                         framework::TimePoint now) override;
    void recordRefusal(const framework::HostId &host, protocol::RefusalReason reason,
                       framework::LogOffset revision, framework::TimePoint now) override;
    void expireHolds(framework::TimePoint now) override;

    std::vector<HostStatus> hosts() const override;
    std::optional<HostEntry> find(const framework::HostId &host) const override;
    bool isLeaving(const framework::HostId &host) const override;

private:
    /// Host that is leaving. The endpoint tells it from a successor with the same id.
    struct LeavingHost
    {
        framework::Endpoint http;
        framework::TimePoint until;
    };
    /// Exclusion after a refusal.
    struct Hold
    {
        /// Revision of the process that refused.
        framework::LogOffset revision;
        framework::TimePoint until;
        /// Whether the hold also ends when this process reaches that revision.
        bool endsAtRevision = false;
    };
    /// Consecutive host list responses that were short.
    struct ShortRun
    {
        framework::TimePoint since;
        std::uint32_t count = 0;
    };

    bool mayBeTruncated(const std::vector<HostEntry> &entries, framework::TimePoint now);
    void dropMissing(const std::vector<HostEntry> &entries);
    void recordLeaving(const HostEntry &entry, framework::Milliseconds hold,
                       framework::TimePoint now);
    void recordOutOfServiceRefusal(const HostEntry &entry, protocol::RefusalReason reason,
                                   framework::LogOffset revision, framework::TimePoint now);
    void releaseHoldsOfReachedRevisions();
    HostExclusion exclusion(const HostEntry &entry) const;
    void changed() { m_generation = m_generation.next(); }

    MembershipLimits m_limits;
    std::map<framework::HostId, HostEntry> m_hosts;
    std::map<framework::HostId, LeavingHost> m_leaving;
    std::map<framework::HostId, Hold> m_heldHosts;
    std::map<framework::AvailabilityZoneId, Hold> m_heldZones;
    std::set<framework::AvailabilityZoneId> m_zonesOut;
    std::set<framework::HostId> m_hostsOut;
    framework::LogOffset m_revision;
    MembershipGeneration m_generation;
    std::optional<ShortRun> m_shortRun;
};

} // namespace lavendertally::membership
