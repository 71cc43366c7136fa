#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "serving/types/stagepool.h"

#include <cstdint>
#include <optional>

namespace lavendertally::serving {

/// A service: a set of backend servers that handle the same kind of call.
struct ServiceSpec
{
    framework::ServiceId id;
    /// Connections that one backend server accepts from all callers together.
    std::uint32_t maxConnections = 0;
    /// Requests per second that one backend server can take during its cold start, from all callers
    /// together; zero means no limit.
    std::uint32_t coldRequestsPerSecond = 0;
    /// Set if the service processes pieces of stages.
    std::optional<StagePool> stagePool;
    /// Whether the service generates text.
    bool isModelEngine = false;
};

} // namespace lavendertally::serving
