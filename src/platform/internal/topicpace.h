#pragma once

#include "framework/types/milliseconds.h"

namespace lavendertally::platform {

/// How a topic is followed.
struct TopicPace
{
    /// How long the store may hold back a call while there is no change.
    framework::Milliseconds wait;
    /// Time from an answer to the next call.
    framework::Milliseconds pause;
    /// How far back the changes are read again when this daemon begins to read for its peers, which
    /// do not pass heartbeats on.
    framework::Milliseconds rereadTime;
};

} // namespace lavendertally::platform
