#pragma once

#include "protocol/types/peermessage.h"

namespace lavendertally::peers {

class PeerLink;

/// Hears what happens on one link.
class IPeerLinkOwner
{
public:
    virtual ~IPeerLinkOwner() = default;

    virtual void onLinkConnected(PeerLink &link) = 0;
    virtual void onLinkMessage(PeerLink &link, const protocol::PeerMessage &message) = 0;
    /// \param reason for the log
    virtual void onLinkClosed(PeerLink &link, const char *reason) = 0;
};

} // namespace lavendertally::peers
