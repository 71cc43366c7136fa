#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "protocol/types/rolloutservicereport.h"
#include "rollout/internal/evidencetotals.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lavendertally::rollout {

/// Reports of all daemons about the rollout of one service. Counts are cumulative, so a report that
/// is lost or comes twice changes nothing.
class GatewayReports
{
public:
    /// \param start number of the daemon's start
    void merge(const framework::DaemonId &daemon, std::uint64_t start,
               const protocol::RolloutServiceReport &report, framework::TimePoint now);

    /// The daemon has closed its link. If it does not report again soon, its process has ended, and
    /// its requests with it; its registration stands for up to half a minute longer.
    void noteClosed(const framework::DaemonId &daemon, framework::TimePoint now);

    /// \return sum over all daemons and their starts
    EvidenceTotals totals() const;
    std::uint64_t sent() const;
    std::uint64_t sentToTarget() const;
    /// \return the highest step that a daemon follows
    protocol::RolloutStep highestStep() const;
    /// \return when the newest report came
    framework::TimePoint newest() const;

    /// \param registered daemons that are up
    /// \return whether more than half of them, but for those that have ended, have reported lately
    bool hasMajority(const std::set<framework::DaemonId> &registered,
                     framework::TimePoint now) const;

    /// \param registered daemons that are up
    /// \return daemons that may have requests at old servers, or may send some there
    std::vector<framework::DaemonId>
    daemonsAtOldServers(const std::set<framework::DaemonId> &registered,
                        framework::TimePoint now) const;

private:
    struct Daemon
    {
        std::uint64_t start = 0;
        protocol::RolloutServiceReport report;
        framework::TimePoint reported;
        /// Nothing after a report.
        std::optional<framework::TimePoint> closed;
        /// Of starts that have ended.
        EvidenceTotals ended;
        std::uint64_t endedSent = 0;
        std::uint64_t endedToTarget = 0;
    };

    /// \return whether the process has ended, as far as can be told
    static bool hasEnded(const Daemon &daemon, framework::TimePoint now);
    static void add(EvidenceTotals &totals, const protocol::RolloutEvidence &evidence);

    std::map<framework::DaemonId, Daemon> m_daemons;
};

} // namespace lavendertally::rollout
