#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"
#include "protocol/types/evidencefingerprint.h"
#include "protocol/types/topicdigest.h"

#include <optional>
#include <vector>

namespace lavendertally::protocol {

/// Answer to a PeerPing; also sent unsolicited when peers must learn of a change at once.
struct PeerPong
{
    /// Send time from the ping; nothing if the pong is unsolicited.
    std::optional<framework::TimePoint> pingSent;
    /// Whether the sender has the state that it needs to run stage jobs, and is not shutting down.
    bool acceptsJobs = false;
    /// How long the sender has been up.
    framework::Milliseconds uptime;
    /// State of each topic that the sender has loaded.
    std::vector<TopicDigest> digests;
    /// What the sender knows of crashes; nothing if that is as in its last pong on the same link,
    /// or if it takes no crash reports.
    std::optional<EvidenceFingerprint> crashFingerprint = std::nullopt;
    /// Whether the sender takes rate limits and issues permits.
    bool takesRateLimits = false;
    /// Whether the sender takes reports and steps of rollouts.
    bool takesRollouts = false;
    /// Whether the sender lends connections.
    bool takesConnectionLeases = false;

    bool operator==(const PeerPong &) const = default;
};

} // namespace lavendertally::protocol
