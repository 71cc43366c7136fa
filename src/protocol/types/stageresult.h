#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/units.h"
#include "protocol/types/loadreport.h"
#include "protocol/types/refusalreason.h"
#include "protocol/types/stagestatus.h"

#include <cstdint>
#include <string>

namespace lavendertally::protocol {

/// Last message of an attempt.
struct StageResult
{
    framework::AttemptId attempt;
    /// Configuration revision of the host process.
    framework::LogOffset revision;
    StageStatus status = StageStatus::Unknown;
    RefusalReason reason = RefusalReason::None;
    /// What failed, for people.
    std::string detail;
    /// Number of chunks that were sent before; a receiver with fewer has lost some.
    std::uint64_t chunks = 0;
    /// JSON result; empty when it was streamed.
    std::string payload;
    framework::TokenCount tokens;
    /// Time that the backend server worked on it.
    framework::Milliseconds serviceTime;
    framework::MicroCost cost;
    LoadReport load;

    bool operator==(const StageResult &) const = default;
};

} // namespace lavendertally::protocol
