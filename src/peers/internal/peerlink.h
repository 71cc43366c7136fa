#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "network/ibufferedsocketobserver.h"
#include "protocol/types/peermessage.h"

#include <memory>
#include <optional>

struct event_base;

namespace lavendertally::network {
class BufferedSocket;
}

namespace lavendertally::protocol {
class IFrameReader;
class IPeerMessageCodec;
} // namespace lavendertally::protocol

namespace lavendertally::peers {

class IPeerLinkOwner;

/// One connection between two daemons. The daemon that opened it sends its hello first.
class PeerLink final : public network::IBufferedSocketObserver
{
public:
    /// Makes an inbound link.
    /// \param fd accepted socket, of which this takes ownership
    PeerLink(event_base *base, int fd, const protocol::IPeerMessageCodec &codec,
             IPeerLinkOwner &owner);
    /// Makes an outbound link to \p peer that is not connected yet; see connect().
    PeerLink(event_base *base, framework::DaemonId peer, const protocol::IPeerMessageCodec &codec,
             IPeerLinkOwner &owner);
    ~PeerLink() override;
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /// Starts to connect; the owner is notified of the result.
    /// \return false if that fails at once
    bool connect(const char *address, unsigned short port);
    /// Sends a message, unless the peer is behind.
    void send(const protocol::PeerMessage &message);
    /// \return whether the peer did not take what was sent before within a bound. A message has
    /// been dropped then, so the link has to be closed
    bool isBehind() const { return m_isBehind; }
    /// Ends all notifications to the owner; what has arrived and was not handled yet is dropped.
    void detach();

    /// \return the daemon at the other end; empty on an inbound link before its hello
    const framework::DaemonId &peer() const { return m_peer; }
    void setPeer(framework::DaemonId peer);
    /// \return whether the daemon that opened this inbound link takes crash reports
    bool takesCrashReports() const { return m_takesCrashReports; }
    void setTakesCrashReports(bool takes) { m_takesCrashReports = takes; }
    /// \return whether the daemon that opened this inbound link takes rate limits
    bool takesRateLimits() const { return m_takesRateLimits; }
    void setTakesRateLimits(bool takes) { m_takesRateLimits = takes; }
    /// \return whether the daemon that opened this inbound link takes connection leases
    bool takesConnectionLeases() const { return m_takesConnectionLeases; }
    void setTakesConnectionLeases(bool takes) { m_takesConnectionLeases = takes; }
    /// \return whether the peer has closed the link in order
    bool isClosedInOrder() const { return m_isClosedInOrder; }
    bool takesRollouts() const { return m_takesRollouts; }
    void setTakesRollouts(bool takes) { m_takesRollouts = takes; }
    /// \return the fingerprint in the last pong that was sent on this link, if any had one
    const std::optional<protocol::EvidenceFingerprint> &toldFingerprint() const
    {
        return m_toldFingerprint;
    }
    void setToldFingerprint(protocol::EvidenceFingerprint told) { m_toldFingerprint = told; }
    bool isConnected() const { return m_connected; }
    /// \return when the last message arrived, as set by the owner
    framework::TimePoint lastReceived() const { return m_lastReceived; }
    void setLastReceived(framework::TimePoint now) { m_lastReceived = now; }

private:
    void onConnected() override;
    void onReadable() override;
    void onClosed(bool inOrder) override;

    const protocol::IPeerMessageCodec &m_codec;
    IPeerLinkOwner &m_owner;
    framework::DaemonId m_peer;
    std::unique_ptr<protocol::IFrameReader> m_frames;
    std::unique_ptr<network::BufferedSocket> m_socket;
    std::size_t m_unnamedBytes = 0;
    bool m_connected = false;
    bool m_isBehind = false;
    bool m_takesCrashReports = false;
    bool m_takesRateLimits = false;
    bool m_takesConnectionLeases = false;
    bool m_takesRollouts = false;
    bool m_isClosedInOrder = false;
    std::optional<protocol::EvidenceFingerprint> m_toldFingerprint;
    framework::TimePoint m_lastReceived;
};

} // namespace lavendertally::peers
