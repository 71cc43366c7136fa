#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "serving/types/routekind.h"
#include "serving/types/stageplan.h"
#include "serving/types/trafficshare.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lavendertally::serving {

/// How requests for one host name and path prefix are handled.
struct Route
{
    framework::RouteId id;
    std::string hostName;
    /// Begins and ends with a slash.
    std::string prefix;
    RouteKind kind = RouteKind::NonIdempotent;
    /// Longest time that a request may take.
    framework::Milliseconds timeout;
    /// Target time to the response, or to its first event if it is streamed. A response within it
    /// is worth most.
    framework::Milliseconds latencyObjective;
    /// Target for the longest gap between two events of a stream.
    framework::Milliseconds maxEventGap;
    framework::PriorityRank priority;
    /// Services that the requests are distributed to; at least one.
    std::vector<TrafficShare> split;
    /// Maximum number of attempts for one request, including the first.
    std::uint32_t maxAttempts = 1;
    /// Stages to run before a request is sent to its service.
    std::vector<StagePlan> stages;
    /// Whether requests are accepted without an API key.
    bool isPublic = false;
    /// Whether requests with the same prompt prefix prefer the same backend server, which may have
    /// the prefix cached.
    bool promptAffinity = false;
    /// Whether a broken stream may be resumed at another backend server.
    bool resumable = false;

    /// \return whether a request may run more than once
    bool isIdempotent() const
    {
        return kind == RouteKind::Idempotent || (kind == RouteKind::Streaming && resumable);
    }
};

} // namespace lavendertally::serving
