#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "protocol/types/peermessage.h"

#include <optional>
#include <vector>

namespace lavendertally::peers {

/// Hears what happens on the links between daemons.
class IPeerObserver
{
public:
    virtual ~IPeerObserver() = default;

    virtual void onMessage(const framework::DaemonId &peer,
                           const protocol::PeerMessage &message) = 0;

    /// \p peer told how fresh its topics are.
    /// \param asked when it was asked; nothing if it was not
    virtual void onDigests(const framework::DaemonId &peer,
                           const std::vector<protocol::TopicDigest> &digests,
                           std::optional<framework::TimePoint> asked) = 0;

    /// A link that this daemon keeps to \p peer is lost; what was sent on it may be lost too.
    virtual void onOutboundLinkLost(const framework::DaemonId &peer) = 0;

    /// \p peer has closed its link to this daemon, or fell silent.
    virtual void onInboundLinkClosed(const framework::DaemonId &peer) = 0;
};

} // namespace lavendertally::peers
