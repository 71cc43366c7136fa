#pragma once

#include "protocol/types/peermessage.h"

namespace lavendertally::peers {

class PeerLink;

/// Receives the events of a PeerLink.
class IPeerLinkOwner
{
public:
    virtual ~IPeerLinkOwner() = default;

    virtual void onLinkConnected(PeerLink &link) = 0;
    virtual void onLinkMessage(PeerLink &link, const protocol::PeerMessage &message) = 0;
    /// The connection ended; the owner discards the link.
    /// \param reason text for the log
    virtual void onLinkClosed(PeerLink &link, const char *reason) = 0;
};

} // namespace lavendertally::peers
