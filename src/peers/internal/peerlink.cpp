#include "peers/internal/peerlink.h"

#include "network/bufferedsocket.h"
#include "peers/internal/ipeerlinkowner.h"
#include "protocol/iframereader.h"
#include "protocol/ipeermessagecodec.h"
#include "protocol/protocolmodule.h"

#include <optional>
#include <string>
#include <utility>

namespace lavendertally::peers {

namespace {

/// TCP user timeout: a connection with unacknowledged bytes ends after this time. A peer that stops
/// answering is found sooner by the ping timeout.
constexpr framework::Milliseconds AcknowledgeTimeout{2000};

/// What may wait for a peer that reads slowly, besides one message.
constexpr std::size_t MaxUnsentBytes = 1024 * 1024;

/// What a daemon may send before its name is known; a hello takes less than a kilobyte.
constexpr std::size_t MaxUnnamedBytes = 64 * 1024;

} // namespace

PeerLink::PeerLink(event_base *base, int fd, const protocol::IPeerMessageCodec &codec,
                   IPeerLinkOwner &owner)
    : m_codec(codec), m_owner(owner), m_frames(protocol::ProtocolModule::makeFrameReader()),
      m_socket(std::make_unique<network::BufferedSocket>(base, fd, *this)), m_connected(true)
{ }

PeerLink::PeerLink(event_base *base, framework::DaemonId peer,
                   const protocol::IPeerMessageCodec &codec, IPeerLinkOwner &owner)
    : m_codec(codec), m_owner(owner), m_peer(std::move(peer)),
      m_frames(protocol::ProtocolModule::makeFrameReader()),
      m_socket(std::make_unique<network::BufferedSocket>(base, *this))
{ }

PeerLink::~PeerLink() = default;

bool PeerLink::connect(const char *address, unsigned short port)
{
    return m_socket->connect(address, port, AcknowledgeTimeout);
}

void PeerLink::send(const protocol::PeerMessage &message)
{
    m_isBehind = m_isBehind || m_socket->unsent() > MaxUnsentBytes;
    if (m_isBehind) {
        return;
    }
    m_socket->write(protocol::IFrameReader::frame(m_codec.encode(message)));
}

void PeerLink::detach()
{
    m_connected = false;
    m_socket->detach();
}

void PeerLink::setPeer(framework::DaemonId peer)
{
    m_peer = std::move(peer);
}

void PeerLink::onConnected()
{
    m_connected = true;
    m_owner.onLinkConnected(*this);
}

void PeerLink::onReadable()
{
    const std::string_view input = m_socket->input();
    m_unnamedBytes += m_peer.isEmpty() ? input.size() : 0;
    if (m_peer.isEmpty() && m_unnamedBytes > MaxUnnamedBytes) {
        m_connected = false;
        m_owner.onLinkClosed(*this, "no hello");
        return;
    }
    m_frames->append(input);
    m_socket->consume(input.size());
    while (m_connected) {
        auto frame = m_frames->next();
        if (!frame) {
            m_connected = false;
            m_owner.onLinkClosed(*this, "frame exceeds the size limit");
            return;
        }
        if (!frame->has_value()) {
            return;
        }
        const auto message = m_codec.decode(**frame);
        if (!message) {
            m_connected = false;
            m_owner.onLinkClosed(*this, "message cannot be decoded");
            return;
        }
        m_owner.onLinkMessage(*this, *message);
    }
}

void PeerLink::onClosed(bool inOrder)
{
    m_connected = false;
    m_isClosedInOrder = inOrder;
    m_owner.onLinkClosed(*this, inOrder ? "closed by the peer" : "connection failed");
}

} // namespace lavendertally::peers
