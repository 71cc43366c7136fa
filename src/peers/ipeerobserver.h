#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "protocol/types/peermessage.h"

#include <optional>
#include <vector>

namespace lavendertally::peers {

/// Receives messages and events of the links between daemons.
class IPeerObserver
{
public:
    virtual ~IPeerObserver() = default;

    /// A message other than hello, ping and pong arrived.
    virtual void onMessage(const framework::DaemonId &peer,
                           const protocol::PeerMessage &message) = 0;

    /// A pong arrived on the outbound link to \p peer.
    /// \param digests state of the peer's topics
    /// \param pingSent when the ping was sent, on this daemon's clock; nothing if the pong is
    /// unsolicited
    virtual void onDigests(const framework::DaemonId &peer,
                           const std::vector<protocol::TopicDigest> &digests,
                           std::optional<framework::TimePoint> pingSent) = 0;

    /// A pong arrived on the outbound link to \p peer, which takes crash reports.
    /// \param fingerprint what the peer knows of crashes
    virtual void onCrashFingerprint(const framework::DaemonId &peer,
                                    protocol::EvidenceFingerprint fingerprint) = 0;

    /// The outbound link to \p peer was lost or given up. Messages sent on it may not have arrived.
    virtual void onOutboundLinkLost(const framework::DaemonId &peer) = 0;

    /// The inbound link of \p peer ended: it was closed, was idle for too long, or was replaced by
    /// a newer one of the same peer.
    virtual void onInboundLinkClosed(const framework::DaemonId &peer) = 0;

    /// The peer has closed its link in order, as the kernel does when the process ends; called
    /// before onInboundLinkClosed(). A peer that goes on opens another link if it still needs one.
    virtual void onClosedByPeer(const framework::DaemonId & /*peer*/) { }
};

} // namespace lavendertally::peers
