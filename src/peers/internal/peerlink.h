#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "network/ibufferedsocketobserver.h"
#include "protocol/types/peermessage.h"

#include <memory>

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

/// One connection between two daemons. The daemon that made it says hello first.
class PeerLink final : public network::IBufferedSocketObserver
{
public:
    /// Takes over an accepted connection.
    PeerLink(event_base *base, int fd, const protocol::IPeerMessageCodec &codec,
             IPeerLinkOwner &owner);
    /// Makes a link that is not connected; see connect().
    PeerLink(event_base *base, framework::DaemonId peer, const protocol::IPeerMessageCodec &codec,
             IPeerLinkOwner &owner);
    ~PeerLink() override;
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /// \return false if the connection cannot even be begun
    bool connect(const char *address, unsigned short port);
    void send(const protocol::PeerMessage &message);

    /// \return the daemon at the other end; empty before its hello
    const framework::DaemonId &peer() const { return m_peer; }
    void setPeer(framework::DaemonId peer);
    bool isConnected() const { return m_connected; }
    framework::TimePoint lastHeard() const { return m_lastHeard; }
    void setLastHeard(framework::TimePoint now) { m_lastHeard = now; }

private:
    void onConnected() override;
    void onReadable() override;
    void onClosed(bool inOrder) override;

    const protocol::IPeerMessageCodec &m_codec;
    IPeerLinkOwner &m_owner;
    framework::DaemonId m_peer;
    std::unique_ptr<protocol::IFrameReader> m_frames;
    std::unique_ptr<network::BufferedSocket> m_socket;
    bool m_connected = false;
    framework::TimePoint m_lastHeard;
};

} // namespace lavendertally::peers
