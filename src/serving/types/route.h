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

/// What becomes of the requests for one host name and path prefix.
struct Route
{
    framework::RouteId id;
    std::string hostName;
    /// Begins and ends with a slash.
    std::string prefix;
    RouteKind kind = RouteKind::NonIdempotent;
    /// Longest time that a client is kept waiting.
    framework::Milliseconds timeout;
    /// Time within which an answer, or the first event of one, is worth most.
    framework::Milliseconds latencyObjective;
    /// Longest pause between two events of a stream that is in time.
    framework::Milliseconds maxEventGap;
    framework::PriorityRank priority;
    /// At least one.
    std::vector<TrafficShare> split;
    /// Backend servers that one request may be sent to.
    std::uint32_t maxAttempts = 1;
    std::vector<StagePlan> stages;
    /// Whether requests need no key.
    bool isPublic = false;
    /// Whether requests share prompt parts that a backend server may have cached.
    bool promptAffinity = false;
    /// Whether a broken stream may go on at another backend server.
    bool resumable = false;

    bool isIdempotent() const
    {
        return kind == RouteKind::Idempotent || (kind == RouteKind::Streaming && resumable);
    }
};

} // namespace lavendertally::serving
