#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "serving/types/stagepool.h"

#include <cstdint>
#include <optional>

namespace lavendertally::serving {

/// A service: backend servers that answer the same kind of call.
struct ServiceSpec
{
    framework::ServiceId id;
    /// Connections that one backend server accepts from all callers together.
    std::uint32_t maxConnections = 0;
    /// Requests a second that one backend server bears in cold start; zero means no bound.
    std::uint32_t coldRequestsPerSecond = 0;
    /// Set if it works on pieces of stages.
    std::optional<StagePool> stagePool;
    /// Whether it generates text.
    bool isModelEngine = false;
};

} // namespace lavendertally::serving
