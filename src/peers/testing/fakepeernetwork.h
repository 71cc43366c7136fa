#pragma once

#include "framework/iclock.h"
#include "framework/testing/fakeclock.h"
#include "peers/ipeernetwork.h"
#include "peers/ipeerobserver.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace lavendertally::peers {

/// Network of one daemon; the test links it to those of the other daemons.
class FakePeerNetwork final : public IPeerNetwork
{
public:
    FakePeerNetwork(framework::DaemonId self, const framework::IClock &clock)
        : m_self(std::move(self)), m_clock(clock)
    { }

    void addObserver(IPeerObserver &observer) override { m_observer = &observer; }
    void setAcceptsJobs(std::function<bool()> /*accepts*/) override { }
    void setDigests(std::function<std::vector<protocol::TopicDigest>()> digests) override
    {
        m_digests = std::move(digests);
    }
    void setCrashFingerprint(std::function<protocol::EvidenceFingerprint()> fingerprint) override
    {
        m_crashFingerprint = std::move(fingerprint);
    }
    std::vector<framework::DaemonId> crashReportTakers() const override
    {
        std::vector<framework::DaemonId> takers;
        for (const auto &[peer, network] : links) {
            takers.push_back(peer);
        }
        return takers;
    }
    void setTakesRateLimits() override { }
    void setTakesConnectionLeases() override { }
    std::vector<framework::DaemonId> connectionLeaseTakers() const override
    {
        return crashReportTakers();
    }
    void setTakesRollouts() override { }
    std::vector<framework::DaemonId> rolloutTakers() const override { return crashReportTakers(); }
    std::vector<framework::DaemonId> rateLimitTakers() const override
    {
        return crashReportTakers();
    }
    framework::Result<framework::Endpoint> listen(const framework::Endpoint &endpoint) override
    {
        return endpoint;
    }
    void connectTo(const std::vector<DaemonAddress> & /*daemons*/) override { }
    void connectToSeeds(const std::vector<framework::Endpoint> &seeds) override
    {
        seedCount = seeds.size();
    }
    std::vector<framework::DaemonId> linkedPeers() const override { return outbound; }
    bool isAccepting(const framework::DaemonId &peer) const override
    {
        return !unreachable.contains(peer);
    }
    bool isInStartupGrace(const framework::DaemonId & /*peer*/) const override { return false; }
    void setIsInformed(std::function<bool(const framework::DaemonId &)> informed) override
    {
        isInformed = std::move(informed);
    }
    bool isUnreachable(const framework::DaemonId &peer) const override
    {
        return unreachable.contains(peer);
    }
    bool isSelfAccepting() const override { return true; }
    framework::TimePoint startTimeOf(const framework::DaemonId & /*peer*/) const override
    {
        return {};
    }
    void announce() override { }
    bool send(const framework::DaemonId &peer, const protocol::PeerMessage &message) override
    {
        ++sentCount;
        if (!links.contains(peer)) {
            return false;
        }
        if (onSend) {
            onSend(message);
        }
        if (!dropsMessages) {
            links.at(peer)->m_observer->onMessage(m_self, message);
        }
        return true;
    }
    /// Delivers the fingerprint of one pong of \p peer.
    void pingForFingerprint(const framework::DaemonId &peer)
    {
        m_observer->onCrashFingerprint(peer, links.at(peer)->m_crashFingerprint());
    }
    /// Delivers the digests of one pong of \p peer.
    /// \param clock advanced by the latency, if given
    /// \param latency time from the ping to the pong
    void ping(const framework::DaemonId &peer, framework::FakeClock *clock = nullptr,
              framework::Milliseconds latency = framework::Milliseconds(0))
    {
        const framework::TimePoint sentAt = m_clock.now();
        const auto digests = links.at(peer)->m_digests();
        if (clock != nullptr) {
            clock->advance(latency);
        }
        m_observer->onDigests(peer, digests, sentAt);
    }
    void loseLink(const framework::DaemonId &peer) { m_observer->onOutboundLinkLost(peer); }

    std::map<framework::DaemonId, FakePeerNetwork *> links;
    /// The links that this daemon has opened.
    std::vector<framework::DaemonId> outbound;
    std::set<framework::DaemonId> unreachable;
    std::function<bool(const framework::DaemonId &)> isInformed;
    /// Hears of each message that is sent on a link.
    std::function<void(const protocol::PeerMessage &)> onSend;
    std::size_t seedCount = 0;
    int sentCount = 0;
    bool dropsMessages = false;

private:
    framework::DaemonId m_self;
    const framework::IClock &m_clock;
    IPeerObserver *m_observer = nullptr;
    std::function<std::vector<protocol::TopicDigest>()> m_digests;
    std::function<protocol::EvidenceFingerprint()> m_crashFingerprint;
};

} // namespace lavendertally::peers
