#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"
#include "protocol/types/topicdigest.h"

#include <optional>
#include <vector>

namespace lavendertally::protocol {

/// Answer to a PeerPing; also sent unasked when something has changed that peers should know soon.
struct PeerPong
{
    /// From the ping; nothing if the pong is sent unasked.
    std::optional<framework::TimePoint> pingSent;
    /// Whether the peer knows enough to run stage jobs and is not about to stop.
    bool acceptsJobs = false;
    /// How long the peer has been up.
    framework::Milliseconds uptime;
    /// Topics that the peer knows.
    std::vector<TopicDigest> digests;

    bool operator==(const PeerPong &) const = default;
};

} // namespace lavendertally::protocol
