#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "protocol/types/rolloutservicereport.h"
#include "rollout/internal/evidencetotals.h"
#include "rollout/internal/exposurebudget.h"
#include "rollout/internal/rolloutjudge.h"
#include "rollout/internal/rolloutplan.h"
#include "rollout/internal/serviceversions.h"
#include "rollout/types/answerquality.h"
#include "rollout/types/rolloutbounds.h"
#include "rollout/types/rolloutorder.h"

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>

namespace lavendertally::rollout {

/// What one daemon may send to the versions of one service, and what it has seen of them.
class ServiceTraffic
{
public:
    /// \param phaseSeed differs among daemons and their starts
    ServiceTraffic(framework::ServiceId service, const RolloutBounds &bounds,
                   std::uint64_t phaseSeed);

    /// The ready servers have changed, or are known for the first time.
    void setServers(const std::vector<const membership::BackendServerEntry *> &servers);

    /// \return whether a rollout begins; false if the order is the one that stands
    bool setOrder(const RolloutOrder &order, framework::TimePoint now);
    void clearOrder();
    const std::optional<RolloutOrder> &order() const { return m_order; }

    /// \return number of the rollout of this service; differs for each that begins
    std::uint64_t rolloutNumber() const { return m_rolloutNumber; }

    protocol::RolloutStep step() const { return m_step; }
    /// Goes on to \p step if it comes after the present one.
    /// \return whether it does
    bool raise(protocol::RolloutStep step);
    framework::Milliseconds elapsed(framework::TimePoint now) const { return now - m_ordered; }
    /// Sets what the requests on top of the share depend on; called several times a second.
    /// \param daemons number of daemons that share them
    void tick(std::size_t daemons, framework::TimePoint now);
    /// Learns that the order was seen earlier elsewhere.
    void noteElapsed(framework::Milliseconds elapsed, framework::TimePoint now);

    /// \return whether the choice of servers is limited at all
    bool isRestricted() const { return m_order.has_value() || m_versions.isMixed(); }
    /// \return whether the next request may go to \p server
    bool admits(const membership::BackendServerEntry &server) const;
    /// \return whether \p server is to get the next request before those of the old version, so
    /// that the new one gets its share
    bool isPreferred(const membership::BackendServerEntry &server) const;

    void callStarted(const membership::BackendServerEntry &server);
    void callEnded(const framework::BackendServerId &server);
    /// \return version that gave the answer, if it counts as evidence
    std::optional<framework::SoftwareVersion> answered(const framework::BackendServerId &server,
                                                       const framework::RouteId &route,
                                                       AnswerQuality quality,
                                                       framework::Milliseconds time);
    /// Judges this daemon's own evidence.
    /// \return why the daemon stops sending to the new version, if this is conclusive since this
    /// call
    std::optional<RolloutFinding> judgeOwnEvidence(framework::TimePoint now);

    /// \param holders servers that keep results of stages
    protocol::RolloutServiceReport report(const std::set<framework::BackendServerId> &holders,
                                          framework::TimePoint now) const;
    std::size_t targetServers() const;
    std::size_t otherServers() const;
    /// \return whether the order names the version that is in use
    bool isTargetEstablished() const { return m_order && m_established == m_order->target; }

private:
    struct ServerCalls
    {
        framework::SoftwareVersion version;
        std::uint64_t inFlight = 0;
    };

    bool isTarget(const framework::SoftwareVersion &version) const
    {
        return m_order && version == m_order->target;
    }
    bool admitsTarget(const membership::BackendServerEntry &server) const;
    bool admitsOld(const membership::BackendServerEntry &server) const;
    bool hasBudget() const;
    RolloutPlan plan() const { return {m_bounds, m_order->duration}; }
    void updateEstablished();
    void updateCanary();
    std::uint64_t workAtOldServers(const std::set<framework::BackendServerId> &holders) const;
    void forgetIdleServers();

    framework::ServiceId m_service;
    RolloutBounds m_bounds;
    std::uint64_t m_phaseSeed;
    std::vector<std::pair<framework::BackendServerId, framework::SoftwareVersion>> m_servers;
    ServiceVersions m_versions;
    /// Version that gets the requests which the target of an order does not get.
    std::optional<framework::SoftwareVersion> m_established;
    /// Whether m_established was chosen among several versions by their numbers of servers.
    bool m_isGuessed = false;
    std::optional<RolloutOrder> m_order;
    std::uint64_t m_rolloutNumber = 0;
    protocol::RolloutStep m_step = protocol::RolloutStep::Waiting;
    framework::TimePoint m_ordered;
    ExposureBudget m_budget;
    std::size_t m_daemons = 1;
    /// Time since the order at the last tick.
    framework::Milliseconds m_elapsed;
    std::set<framework::BackendServerId> m_canary;
    std::unordered_map<framework::BackendServerId, ServerCalls> m_calls;
    EvidenceTotals m_evidence;
    RolloutJudge m_judge;
    bool m_isStopped = false;
};

} // namespace lavendertally::rollout
