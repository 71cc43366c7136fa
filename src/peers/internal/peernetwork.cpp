#include "peers/internal/peernetwork.h"

#include "framework/iclock.h"
#include "framework/ieventloop.h"
#include "framework/ilogger.h"
#include "framework/itimer.h"
#include "peers/internal/linkdepth.h"
#include "peers/internal/peerlink.h"
#include "peers/ipeerobserver.h"
#include "protocol/ipeermessagecodec.h"
#include "protocol/protocolmodule.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lavendertally::peers {

namespace {

/// Appended to this daemon's id in the hello on a link to a seed peer.
constexpr const char *SeedLinkSuffix = "/seed";

} // namespace

PeerNetwork::PeerNetwork(framework::IEventLoop &loop, const framework::IClock &clock,
                         framework::ILogger &logger, framework::DaemonId self,
                         const PeerLimits &limits)
    : m_loop(loop), m_clock(clock), m_logger(logger), m_self(std::move(self)), m_limits(limits),
      m_codec(protocol::ProtocolModule::makePeerCodec()), m_acceptsJobs([] { return false; }),
      m_digests([] { return std::vector<protocol::TopicDigest>(); }),
      m_isInformed([](const framework::DaemonId & /*peer*/) { return true; }),
      m_listener(loop.base(), [this](int fd) { onAccepted(fd); }), m_started(clock.now())
{ }

PeerNetwork::~PeerNetwork() = default;

void PeerNetwork::setAcceptsJobs(std::function<bool()> accepts)
{
    m_acceptsJobs = std::move(accepts);
}

void PeerNetwork::setDigests(std::function<std::vector<protocol::TopicDigest>()> digests)
{
    m_digests = std::move(digests);
}

void PeerNetwork::setCrashFingerprint(std::function<protocol::EvidenceFingerprint()> fingerprint)
{
    m_crashFingerprint = std::move(fingerprint);
}

void PeerNetwork::setTakesRateLimits()
{
    m_takesRateLimits = true;
}

void PeerNetwork::setTakesConnectionLeases()
{
    m_takesConnectionLeases = true;
}

void PeerNetwork::setIsInformed(std::function<bool(const framework::DaemonId &)> isInformed)
{
    m_isInformed = std::move(isInformed);
}

framework::Result<framework::Endpoint> PeerNetwork::listen(const framework::Endpoint &endpoint)
{
    BOOST_LEAF_ASSIGN(m_endpoint, m_listener.listen(endpoint));
    tick();
    return m_endpoint;
}

void PeerNetwork::onAccepted(int fd)
{
    auto link = std::make_unique<PeerLink>(m_loop.base(), fd, *m_codec, *this);
    link->setLastReceived(m_clock.now());
    m_inbound.push_back(std::move(link));
    boundUnnamedLinks();
}

/// Closes the oldest link without a name if there are too many: whoever opens connections and says
/// nothing must not use up the descriptors.
void PeerNetwork::boundUnnamedLinks()
{
    const auto isUnnamed = [](const auto &link) { return link->peer().isEmpty(); };
    const auto count = std::count_if(m_inbound.begin(), m_inbound.end(), isUnnamed);
    if (std::cmp_greater(count, m_limits.maxUnnamedLinks)) {
        closeInbound(**std::find_if(m_inbound.begin(), m_inbound.end(), isUnnamed));
    }
}

void PeerNetwork::connectTo(const std::vector<DaemonAddress> &ranking)
{
    m_ranking = ranking;
    updateOutbound();
}

bool PeerNetwork::isInStartupGrace(const framework::DaemonId &peer) const
{
    const auto found = m_outbound.find(peer);
    return found != m_outbound.end() && !found->second.isEstablished && !found->second.wasLost
        && m_clock.now() - found->second.addedAt < m_limits.startupGrace;
}

bool PeerNetwork::isUnreachable(const framework::DaemonId &peer) const
{
    const auto found = m_outbound.find(peer);
    return found != m_outbound.end() && !found->second.isEstablished && !isInStartupGrace(peer);
}

LinkCandidate PeerNetwork::linkCandidate(const framework::DaemonId &daemon) const
{
    if (daemon == m_self) {
        return {true, m_acceptsJobs(), false};
    }
    const auto found = m_outbound.find(daemon);
    if (found == m_outbound.end() || isInStartupGrace(daemon)) {
        return {};
    }
    const bool isEstablished = found->second.isEstablished;
    return {isEstablished, isAccepting(daemon), isEstablished && m_isInformed(daemon)};
}

/// \return the seeds and the daemons of the ranking that linkDepth() tells
std::vector<DaemonAddress> PeerNetwork::wantedPeers() const
{
    std::vector<LinkCandidate> candidates;
    candidates.reserve(m_ranking.size());
    for (const DaemonAddress &daemon : m_ranking) {
        candidates.push_back(linkCandidate(daemon.daemon));
    }
    const std::size_t depth = linkDepth(candidates, m_limits.maxReachableLinks);
    std::vector<DaemonAddress> result = m_seeds;
    std::copy_if(m_ranking.begin(), m_ranking.begin() + static_cast<std::ptrdiff_t>(depth),
                 std::back_inserter(result),
                 [this](const DaemonAddress &daemon) { return daemon.daemon != m_self; });
    return result;
}

/// \return whether a link that is not needed any more is kept for now
bool PeerNetwork::isKept(const framework::DaemonId &peer, const OutboundLink &outbound,
                         framework::TimePoint now) const
{
    const bool isRanked = std::any_of(m_ranking.begin(), m_ranking.end(), [&](const auto &daemon) {
        return daemon.daemon == peer && daemon.endpoint == outbound.endpoint;
    });
    return isRanked && outbound.isEstablished
        && now - outbound.neededAt < m_limits.unneededLinkTime;
}

void PeerNetwork::connectToSeeds(const std::vector<framework::Endpoint> &seeds)
{
    m_seeds.clear();
    for (const framework::Endpoint &seed : seeds) {
        if (seed != m_endpoint) {
            m_seeds.push_back({framework::DaemonId(seed.toString()), seed});
        }
    }
    updateOutbound();
}

void PeerNetwork::updateOutbound()
{
    const framework::TimePoint now = m_clock.now();
    std::map<framework::DaemonId, OutboundLink> kept;
    for (const DaemonAddress &daemon : wantedPeers()) {
        auto node = m_outbound.extract(daemon.daemon);
        if (!node.empty() && node.mapped().endpoint == daemon.endpoint) {
            node.mapped().neededAt = now;
            kept.insert(std::move(node));
            continue;
        }
        if (!node.empty()) {
            discard(std::move(node.mapped().link));
        }
        OutboundLink &added = kept[daemon.daemon];
        added.endpoint = daemon.endpoint;
        added.addedAt = now;
        added.neededAt = now;
    }
    for (auto unneeded = m_outbound.begin(); unneeded != m_outbound.end();) {
        const auto next = std::next(unneeded);
        if (isKept(unneeded->first, unneeded->second, now)) {
            kept.insert(m_outbound.extract(unneeded));
        }
        unneeded = next;
    }
    std::map<framework::DaemonId, OutboundLink> dropped =
        std::exchange(m_outbound, std::move(kept));
    for (auto &[peer, outbound] : dropped) {
        discard(std::move(outbound.link));
        for (IPeerObserver *observer : m_observers) {
            observer->onOutboundLinkLost(peer);
        }
    }
    for (auto &[peer, outbound] : m_outbound) {
        if (!outbound.link) {
            maintain(peer, outbound, now);
        }
    }
}

std::vector<framework::DaemonId> PeerNetwork::linkedPeers() const
{
    std::vector<framework::DaemonId> peers;
    for (const auto &[peer, outbound] : m_outbound) {
        if (outbound.isEstablished) {
            peers.push_back(peer);
        }
    }
    return peers;
}

std::vector<framework::DaemonId> PeerNetwork::crashReportTakers() const
{
    return takers([](const OutboundLink &link) { return link.crashFingerprint.has_value(); },
                  [](const PeerLink &link) { return link.takesCrashReports(); });
}

std::vector<framework::DaemonId> PeerNetwork::rateLimitTakers() const
{
    return takers([](const OutboundLink &link) { return link.takesRateLimits; },
                  [](const PeerLink &link) { return link.takesRateLimits(); });
}

std::vector<framework::DaemonId> PeerNetwork::connectionLeaseTakers() const
{
    return takers([](const OutboundLink &link) { return link.takesConnectionLeases; },
                  [](const PeerLink &link) { return link.takesConnectionLeases(); });
}

std::vector<framework::DaemonId> PeerNetwork::rolloutTakers() const
{
    return takers([](const OutboundLink &link) { return link.takesRollouts; },
                  [](const PeerLink &link) { return link.takesRollouts(); });
}

/// \return peers whose established links fulfil the condition
std::vector<framework::DaemonId>
PeerNetwork::takers(const std::function<bool(const OutboundLink &)> &isOutboundTaker,
                    const std::function<bool(const PeerLink &)> &isInboundTaker) const
{
    std::vector<framework::DaemonId> takers;
    for (const auto &[peer, outbound] : m_outbound) {
        if (outbound.isEstablished && isOutboundTaker(outbound)) {
            takers.push_back(peer);
        }
    }
    for (const auto &link : m_inbound) {
        const auto outbound = m_outbound.find(link->peer());
        const bool isLinkedOutbound =
            outbound != m_outbound.end() && outbound->second.isEstablished;
        if (isInboundTaker(*link) && !link->peer().isEmpty() && !isLinkedOutbound) {
            takers.push_back(link->peer());
        }
    }
    return takers;
}

bool PeerNetwork::isSeed(const framework::DaemonId &peer) const
{
    return std::any_of(m_seeds.begin(), m_seeds.end(),
                       [&peer](const DaemonAddress &seed) { return seed.daemon == peer; });
}

bool PeerNetwork::isAccepting(const framework::DaemonId &peer) const
{
    const auto found = m_outbound.find(peer);
    if (found == m_outbound.end()) {
        return false;
    }
    const OutboundLink &outbound = found->second;
    const bool isTrusted =
        !outbound.wasLost || m_clock.now() - outbound.establishedAt >= m_limits.probation;
    return outbound.isEstablished && outbound.acceptsJobs && isTrusted;
}

framework::TimePoint PeerNetwork::startTimeOf(const framework::DaemonId &peer) const
{
    if (peer == m_self) {
        return m_started;
    }
    const auto found = m_outbound.find(peer);
    const bool known = found != m_outbound.end() && found->second.isEstablished;
    return known ? found->second.peerStartTime : framework::TimePoint::never();
}

void PeerNetwork::sendPong(PeerLink &link, std::optional<framework::TimePoint> pingSent) const
{
    protocol::PeerPong pong{pingSent, m_acceptsJobs(), m_clock.now() - m_started, m_digests()};
    pong.takesRateLimits = m_takesRateLimits;
    pong.takesConnectionLeases = m_takesConnectionLeases;
    pong.takesRollouts = m_takesRollouts;
    if (m_crashFingerprint) {
        const protocol::EvidenceFingerprint fingerprint = m_crashFingerprint();
        if (link.toldFingerprint() != fingerprint) {
            pong.crashFingerprint = fingerprint;
            link.setToldFingerprint(fingerprint);
        }
    }
    link.send(pong);
}

void PeerNetwork::announce()
{
    for (const auto &link : m_inbound) {
        if (!link->peer().isEmpty()) {
            sendPong(*link, std::nullopt);
        }
    }
}

bool PeerNetwork::send(const framework::DaemonId &peer, const protocol::PeerMessage &message)
{
    const auto outbound = m_outbound.find(peer);
    if (outbound != m_outbound.end() && outbound->second.isEstablished) {
        outbound->second.link->send(message);
        return true;
    }
    for (const auto &link : m_inbound) {
        if (link->peer() == peer) {
            link->send(message);
            return true;
        }
    }
    return false;
}

void PeerNetwork::tick()
{
    const framework::TimePoint now = m_clock.now();
    updateOutbound();
    for (auto &[peer, outbound] : m_outbound) {
        maintain(peer, outbound, now);
    }
    closeIdleInbound(now);
    m_tickTimer = m_loop.callAfter(m_limits.pingInterval, [this] { tick(); });
}

void PeerNetwork::maintain(const framework::DaemonId &peer, OutboundLink &outbound,
                           framework::TimePoint now)
{
    if (!outbound.link) {
        if (now < outbound.nextAttempt) {
            return;
        }
        outbound.connectStarted = now;
        outbound.link = std::make_unique<PeerLink>(m_loop.base(), peer, *m_codec, *this);
        outbound.link->setLastReceived(now);
        const bool isConnecting =
            outbound.link->connect(outbound.endpoint.address.c_str(), outbound.endpoint.port);
        if (!isConnecting) {
            handleOutboundFailure(peer, outbound, "connecting failed at once");
        }
        return;
    }
    if (!outbound.link->isConnected()) {
        if (now - outbound.connectStarted > m_limits.connectTimeout) {
            handleOutboundFailure(peer, outbound, "connect timeout");
        }
        return;
    }
    if (now - outbound.link->lastReceived() > m_limits.pingTimeout) {
        handleOutboundFailure(peer, outbound, "ping timeout");
        return;
    }
    if (outbound.link->isBehind()) {
        handleOutboundFailure(peer, outbound, "peer reads too slowly");
        return;
    }
    outbound.link->send(protocol::PeerPing{now});
}

void PeerNetwork::handleOutboundFailure(const framework::DaemonId &peer, OutboundLink &outbound,
                                        const char *reason)
{
    discard(std::move(outbound.link));
    outbound.nextAttempt = m_clock.now() + m_limits.reconnectDelay;
    if (!std::exchange(outbound.isEstablished, false)) {
        return;
    }
    outbound.wasLost = true;
    m_logger.warning("link to daemon lost; reconnecting",
                     {{"peer", peer.value()}, {"reason", reason}});
    for (IPeerObserver *observer : m_observers) {
        observer->onOutboundLinkLost(peer);
    }
}

void PeerNetwork::closeIdleInbound(framework::TimePoint now)
{
    std::vector<PeerLink *> idle;
    for (const auto &link : m_inbound) {
        if (link->isBehind() || now - link->lastReceived() > m_limits.inboundIdleTimeout) {
            idle.push_back(link.get());
        }
    }
    for (PeerLink *link : idle) {
        closeInbound(*link);
    }
}

void PeerNetwork::onLinkConnected(PeerLink &link)
{
    link.setLastReceived(m_clock.now());
    // A peer keeps one inbound link for each name, so a link to a seed needs a name of its own: the
    // same peer may also be linked through the ranking.
    const std::string name = m_self.value() + (isSeed(link.peer()) ? SeedLinkSuffix : "");
    link.send(protocol::PeerHello{framework::DaemonId(name), m_crashFingerprint != nullptr,
                                  m_takesRateLimits, m_takesRollouts, m_takesConnectionLeases});
    link.send(protocol::PeerPing{m_clock.now()});
}

void PeerNetwork::onLinkMessage(PeerLink &link, const protocol::PeerMessage &message)
{
    link.setLastReceived(m_clock.now());
    if (const auto *hello = std::get_if<protocol::PeerHello>(&message)) {
        onHello(link, *hello);
        return;
    }
    if (const auto *ping = std::get_if<protocol::PeerPing>(&message)) {
        sendPong(link, ping->sent);
        return;
    }
    if (const auto *pong = std::get_if<protocol::PeerPong>(&message)) {
        onPong(link, *pong);
        return;
    }
    if (link.peer().isEmpty()) {
        return;
    }
    for (IPeerObserver *observer : m_observers) {
        observer->onMessage(link.peer(), message);
    }
}

void PeerNetwork::onHello(PeerLink &link, const protocol::PeerHello &hello)
{
    std::vector<PeerLink *> older;
    for (const auto &other : m_inbound) {
        if (other.get() != &link && other->peer() == hello.daemon) {
            older.push_back(other.get());
        }
    }
    for (PeerLink *other : older) {
        closeInbound(*other);
    }
    link.setPeer(hello.daemon);
    link.setTakesCrashReports(hello.takesCrashReports);
    link.setTakesRateLimits(hello.takesRateLimits);
    link.setTakesConnectionLeases(hello.takesConnectionLeases);
    link.setTakesRollouts(hello.takesRollouts);
}

void PeerNetwork::onPong(const PeerLink &link, const protocol::PeerPong &pong)
{
    const auto found = m_outbound.find(link.peer());
    if (found == m_outbound.end() || found->second.link.get() != &link) {
        return;
    }
    OutboundLink &outbound = found->second;
    if (!outbound.isEstablished) {
        outbound.isEstablished = true;
        outbound.establishedAt = m_clock.now();
        outbound.crashFingerprint.reset();
        m_logger.info("link to daemon established", {{"peer", link.peer().value()}});
    }
    const bool hasStoppedTakingJobs =
        std::exchange(outbound.acceptsJobs, pong.acceptsJobs) && !pong.acceptsJobs;
    if (pong.crashFingerprint) {
        outbound.crashFingerprint = pong.crashFingerprint;
    }
    const std::optional<protocol::EvidenceFingerprint> fingerprint = outbound.crashFingerprint;
    outbound.takesRateLimits = pong.takesRateLimits;
    outbound.takesConnectionLeases = pong.takesConnectionLeases;
    outbound.takesRollouts = pong.takesRollouts;
    outbound.peerStartTime = m_clock.now() - pong.uptime;
    for (IPeerObserver *observer : m_observers) {
        observer->onDigests(link.peer(), pong.digests, pong.pingSent);
        if (fingerprint) {
            observer->onCrashFingerprint(link.peer(), *fingerprint);
        }
    }
    if (hasStoppedTakingJobs) {
        updateOutbound();
    }
}

bool PeerNetwork::isOutbound(const PeerLink &link) const
{
    const auto found = m_outbound.find(link.peer());
    return found != m_outbound.end() && found->second.link.get() == &link;
}

void PeerNetwork::onLinkClosed(PeerLink &link, const char *reason)
{
    if (isOutbound(link)) {
        handleOutboundFailure(link.peer(), m_outbound.at(link.peer()), reason);
        return;
    }
    if (link.isClosedInOrder() && !link.peer().isEmpty()) {
        for (IPeerObserver *observer : m_observers) {
            observer->onClosedByPeer(link.peer());
        }
    }
    closeInbound(link);
}

void PeerNetwork::closeInbound(PeerLink &link)
{
    const auto found = std::find_if(m_inbound.begin(), m_inbound.end(),
                                    [&link](const auto &each) { return each.get() == &link; });
    if (found == m_inbound.end()) {
        return;
    }
    const framework::DaemonId peer = link.peer();
    discard(std::move(*found));
    m_inbound.erase(found);
    if (peer.isEmpty()) {
        return;
    }
    for (IPeerObserver *observer : m_observers) {
        observer->onInboundLinkClosed(peer);
    }
}

void PeerNetwork::discard(std::unique_ptr<PeerLink> link)
{
    if (!link) {
        return;
    }
    link->detach();
    m_discarded.push_back(std::move(link));
    if (m_discarded.size() > 1) {
        // A timer that is set anew with each link would not fire while many end.
        return;
    }
    m_discardTimer = m_loop.callAfter(framework::Milliseconds(0),
                                      [this] { const auto gone = std::exchange(m_discarded, {}); });
}

} // namespace lavendertally::peers
