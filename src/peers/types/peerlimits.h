#pragma once

#include "framework/types/milliseconds.h"

namespace lavendertally::peers {

/// Times of the links between daemons.
struct PeerLimits
{
    framework::Milliseconds pingInterval{200};
    /// A link that was silent for so long is lost; a few pings.
    framework::Milliseconds silenceLimit{700};
    framework::Milliseconds connectTimeout{500};
    /// Time for a peer to answer for the first time; daemons that start together need it.
    framework::Milliseconds settleTime{600};
    /// Time from the loss of a link to the next attempt.
    framework::Milliseconds reconnectDelay{250};
    /// How long a link that was lost must be good before it is used first again.
    framework::Milliseconds probation{1000};
    /// A link from another daemon that was silent for so long is closed.
    framework::Milliseconds inboundSilenceLimit{3000};
};

} // namespace lavendertally::peers
