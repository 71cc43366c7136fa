#include "control/internal/nngcontrolclient.h"

#include "control/internal/nngpeer.h"
#include "control/types/controlerror.h"
#include "framework/asyncerror.h"
#include "framework/iclock.h"
#include "framework/ieventloop.h"
#include "framework/imetrics.h"
#include "framework/itimer.h"
#include "protocol/imessagecodec.h"

#include <algorithm>
#include <utility>

namespace lavendertally::control {

namespace {

/// Query ids wrap below the bit that nng reserves.
constexpr std::uint32_t QueryIdMask = 0x7fffffffU;
constexpr framework::Milliseconds IdleCheckInterval{5000};

} // namespace

NngControlClient::NngControlClient(framework::IEventLoop &loop, const framework::IClock &clock,
                                   const protocol::IMessageCodec &codec,
                                   framework::IMetrics &metrics, const ControlLimits &limits)
    : m_loop(loop), m_clock(clock), m_codec(codec), m_metrics(metrics), m_limits(limits)
{ }

NngControlClient::~NngControlClient() = default;

void NngControlClient::sendQuery(const framework::Endpoint &peer, const protocol::Message &query,
                                 framework::Milliseconds timeout, Callback callback)
{
    NngPeer *connection = peerFor(peer);
    if (connection == nullptr) {
        failAsync(std::move(callback), ControlError::TooManyPeers);
        return;
    }
    const std::uint32_t queryId = m_nextQueryId;
    m_nextQueryId = (m_nextQueryId + 1) & QueryIdMask;
    if (!connection->send(queryId, m_codec.encode(query))) {
        failAsync(std::move(callback), ControlError::SendFailed);
        return;
    }
    connection->m_lastUsed = m_clock.now();
    auto timer = m_loop.callAfter(timeout, [this, peer, queryId] { expire(peer, queryId); });
    connection->add(queryId, {std::move(callback), std::move(timer)});
}

NngPeer *NngControlClient::peerFor(const framework::Endpoint &endpoint)
{
    const auto found = m_peers.find(endpoint);
    if (found != m_peers.end()) {
        return found->second.get();
    }
    if (m_peers.size() >= m_limits.maxPeers && !evictIdlePeer()) {
        return nullptr;
    }
    auto peer = std::make_unique<NngPeer>(endpoint, m_loop.base(), m_limits,
                                          [this, endpoint] { receive(endpoint); });
    NngPeer *result = peer.get();
    m_peers.emplace(endpoint, std::move(peer));
    updateGauge();
    if (m_idleTimer == nullptr) {
        m_idleTimer = m_loop.callAfter(IdleCheckInterval, [this] { closeIdle(); });
    }
    return result;
}

bool NngControlClient::evictIdlePeer()
{
    auto oldest = m_peers.end();
    for (auto peer = m_peers.begin(); peer != m_peers.end(); ++peer) {
        const bool older =
            oldest == m_peers.end() || peer->second->m_lastUsed < oldest->second->m_lastUsed;
        if (peer->second->isIdle() && older) {
            oldest = peer;
        }
    }
    if (oldest == m_peers.end()) {
        return false;
    }
    m_peers.erase(oldest);
    return true;
}

void NngControlClient::receive(const framework::Endpoint &endpoint)
{
    const auto peer = m_peers.find(endpoint);
    if (peer == m_peers.end()) {
        return;
    }
    const NngMessage answer = peer->second->receive();
    if (answer == nullptr) {
        return;
    }
    std::optional<NngPeer::Pending> pending = peer->second->take(NngPeer::extractQueryId(answer));
    if (!pending) {
        m_metrics.increment("lavendertally_control_dropped_total", {{"reason", "late_answer"}});
        return;
    }
    peer->second->m_timeoutsInRow = 0;
    framework::Result<protocol::Message> message = m_codec.decode(bodyOf(answer));
    if (!message) {
        m_metrics.increment("lavendertally_control_dropped_total",
                            {{"reason", "malformed_answer"}});
        pending->callback(framework::asyncError<protocol::Message>(ControlError::MalformedAnswer));
        return;
    }
    pending->callback(std::move(message));
}

void NngControlClient::expire(const framework::Endpoint &endpoint, std::uint32_t queryId)
{
    const auto peer = m_peers.find(endpoint);
    if (peer == m_peers.end()) {
        return;
    }
    std::optional<NngPeer::Pending> pending = peer->second->take(queryId);
    if (!pending) {
        return;
    }
    m_metrics.increment("lavendertally_control_timeouts_total", {});
    const bool unresponsive = ++peer->second->m_timeoutsInRow >= m_limits.maxTimeoutsInRow;
    if (unresponsive && peer->second->isIdle()) {
        m_peers.erase(peer);
        updateGauge();
    }
    pending->callback(framework::asyncError<protocol::Message>(ControlError::TimedOut));
}

void NngControlClient::failAsync(Callback callback, ControlError error)
{
    const std::uint64_t key = m_nextDeferredFailure++;
    const auto fail = [this, key, error, callback = std::move(callback)] {
        m_deferredFailures.erase(key);
        callback(framework::asyncError<protocol::Message>(error));
    };
    m_deferredFailures.emplace(key, m_loop.callAfter(framework::Milliseconds(0), fail));
}

void NngControlClient::closeIdle()
{
    const framework::TimePoint now = m_clock.now();
    std::erase_if(m_peers, [&](const auto &item) {
        return item.second->isIdle() && now - item.second->m_lastUsed >= m_limits.idleTimeout;
    });
    updateGauge();
    m_idleTimer =
        m_peers.empty() ? nullptr : m_loop.callAfter(IdleCheckInterval, [this] { closeIdle(); });
}

void NngControlClient::updateGauge()
{
    m_metrics.setGauge("lavendertally_control_peers", {}, std::ssize(m_peers));
}

} // namespace lavendertally::control
