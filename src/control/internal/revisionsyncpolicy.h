#pragma once

#include "control/internal/peerhealth.h"
#include "control/irevisionsyncpolicy.h"
#include "control/types/controlidentity.h"
#include "control/types/synclimits.h"

#include <cstddef>
#include <deque>

namespace lavendertally::framework {
class IRandom;
}

namespace lavendertally::control {

/// Policy of both roles. Entries query random entries, every second time one that follows the log,
/// as in push-pull anti-entropy (Demers et al., "Epidemic Algorithms for Replicated Database
/// Maintenance", 1987): the query carries the sender's revision, so a peer that is behind asks
/// back. Host processes query a few entries in rotation, those of their availability zone first.
class RevisionSyncPolicy final : public IRevisionSyncPolicy
{
public:
    /// \param seeds peers to query while no entry is known
    RevisionSyncPolicy(ControlIdentity identity, std::vector<framework::Endpoint> seeds,
                       const SyncLimits &limits, framework::IRandom &random,
                       framework::TimePoint now);

    void setEntries(const std::vector<membership::HostEntry> &entries) override;
    std::optional<framework::Endpoint> nextPeer(framework::TimePoint now) override;
    framework::TimePoint nextDue() const override;
    void noteAnswer(const framework::Endpoint &peer, framework::TimePoint now) override;
    void noteFailure(const framework::Endpoint &peer, framework::TimePoint now) override;
    void noteNewerRevision(const framework::Endpoint &peer) override;
    void noteNewerRevisionElsewhere() override;
    void noteAdvance() override;
    LogReadMode logReadMode(framework::TimePoint now) const override;

private:
    using Endpoints = std::vector<framework::Endpoint>;

    bool isEntry() const { return m_identity.role == configuration::DaemonRole::Entry; }
    framework::Milliseconds queryInterval() const;
    void rankForHost(const std::vector<membership::HostEntry> &entries);
    void findLogReaders(const std::vector<membership::HostEntry> &entries);
    std::optional<framework::Endpoint> choosePeer(framework::TimePoint now);
    Endpoints usable(const Endpoints &peers, framework::TimePoint now) const;
    std::optional<framework::Endpoint> pickRandom(const Endpoints &peers);

    ControlIdentity m_identity;
    Endpoints m_seeds;
    SyncLimits m_limits;
    framework::IRandom &m_random;
    PeerHealth m_health;
    framework::TimePoint m_start;
    framework::TimePoint m_nextPeriodic;
    /// All entries except this process; for a host process in order of preference.
    Endpoints m_entries;
    /// Entries that follow the log, except this process.
    Endpoints m_logReaders;
    bool m_isLogReader = true;
    bool m_lastQueryFailed = false;
    std::size_t m_queryCount = 0;
    std::deque<framework::Endpoint> m_urgentPeers;
};

} // namespace lavendertally::control
