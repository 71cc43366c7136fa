#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "peers/ipeerobserver.h"
#include "protocol/types/crashreport.h"
#include "quarantine/types/crashexchangelimits.h"

#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace lavendertally::framework {
class IClock;
class ILogger;
class IMetrics;
class IScheduler;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::peers {
class IPeerNetwork;
}

namespace lavendertally::quarantine {

class ICrashEvidenceStore;

/// Tells the other daemons what this one knows of crashes. News goes to the leading daemons, to
/// which all are linked, and each of them passes it on to its share of the rest. What is lost on
/// the way, or was told before a daemon started, is found by comparing fingerprints: a daemon sends
/// all that it knows to a peer whose fingerprint differs, and the peer answers with what it lacks.
class CrashExchange final : public peers::IPeerObserver
{
public:
    CrashExchange(const framework::DaemonId &self, ICrashEvidenceStore &store,
                  peers::IPeerNetwork &network, framework::IScheduler &scheduler,
                  const framework::IClock &clock, framework::ILogger &logger,
                  framework::IMetrics &metrics, const CrashExchangeLimits &limits);
    ~CrashExchange() override;
    CrashExchange(const CrashExchange &) = delete;
    CrashExchange &operator=(const CrashExchange &) = delete;

    void onMessage(const framework::DaemonId &peer, const protocol::PeerMessage &message) override;
    void onDigests(const framework::DaemonId &peer,
                   const std::vector<protocol::TopicDigest> &digests,
                   std::optional<framework::TimePoint> pingSent) override;
    void onCrashFingerprint(const framework::DaemonId &peer,
                            protocol::EvidenceFingerprint fingerprint) override;
    void onOutboundLinkLost(const framework::DaemonId &peer) override;
    void onInboundLinkClosed(const framework::DaemonId &peer) override;

private:
    using Evidence = std::vector<protocol::CrashEvidence>;
    using Key = std::pair<framework::PromptPartId, framework::CrashId>;
    /// Daemon that told a change; nothing if this one observed it, or if several told of it.
    using Teller = std::optional<framework::DaemonId>;
    /// How the fingerprint of a peer compares with that of this daemon.
    struct Comparison
    {
        /// Nothing if the fingerprints are equal.
        std::optional<framework::TimePoint> differsSince;
        framework::TimePoint nextComplete;
        framework::Milliseconds pause;
    };

    static Key keyOf(const protocol::CrashEvidence &evidence);
    /// \return evidence that can be reported, the newest crashes first
    Evidence knownEvidence() const;
    protocol::EvidenceFingerprint fingerprint();
    void onChange(const protocol::CrashEvidence &evidence);
    void planNews();
    void sendNews();
    /// \param teller who told this daemon
    /// \param leading daemons to which this one has opened links
    static bool isNewTo(const framework::DaemonId &peer, const Teller &teller,
                        const std::vector<framework::DaemonId> &leading);
    /// \return whether this daemon, not one of \p leading, tells \p follower
    bool isResponsibleFor(const framework::DaemonId &follower,
                          const std::vector<framework::DaemonId> &leading) const;
    /// \return whether what \p peer reports may be known to all but this daemon
    bool isCatchingUp(const framework::DaemonId &peer, const protocol::CrashReport &report) const;
    void sendComplete(const framework::DaemonId &peer, Comparison &comparison);
    void answer(const framework::DaemonId &peer, const protocol::CrashReport &complete);
    void send(const framework::DaemonId &peer, const protocol::CrashReport &report);
    framework::Milliseconds timeOf(std::size_t entries) const;

    framework::DaemonId m_self;
    ICrashEvidenceStore &m_store;
    peers::IPeerNetwork &m_network;
    framework::IScheduler &m_scheduler;
    const framework::IClock &m_clock;
    framework::ILogger &m_logger;
    framework::IMetrics &m_metrics;
    CrashExchangeLimits m_limits;
    /// How long a difference must last at this daemon.
    framework::Milliseconds m_differenceTime;
    framework::TimePoint m_started;
    /// Changes to tell.
    std::map<Key, Teller> m_news;
    bool m_isNewsPlanned = false;
    framework::TimePoint m_nextNews;
    std::unique_ptr<framework::ITimer> m_newsTimer;
    /// Daemon whose report is being merged.
    Teller m_teller;
    /// Whether others know the report that is being merged.
    bool m_isCatchingUp = false;
    std::map<framework::DaemonId, Comparison> m_comparisons;
    std::optional<protocol::EvidenceFingerprint> m_fingerprint;
    framework::TimePoint m_fingerprintMade;
};

} // namespace lavendertally::quarantine
