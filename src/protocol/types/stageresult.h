#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/units.h"
#include "protocol/types/loadreport.h"
#include "protocol/types/refusalreason.h"
#include "protocol/types/stagestatus.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lavendertally::protocol {

/// Outcome of a StageRequest; the last message of an attempt.
struct StageResult
{
    framework::AttemptId attempt;
    /// Configuration revision of the host process.
    framework::LogOffset revision;
    StageStatus status = StageStatus::Unknown;
    /// Why the call was refused or cancelled; None otherwise.
    RefusalReason reason = RefusalReason::None;
    /// Human-readable cause of a failure.
    std::string detail;
    /// Number of chunks that were sent; a receiver that got fewer has lost some.
    std::uint64_t chunks = 0;
    /// Result as JSON; empty if it was streamed.
    std::string payload;
    framework::TokenCount tokens;
    /// Duration of the call to the backend server, without queueing in the host process.
    framework::Milliseconds serviceTime;
    framework::MicroCost cost;
    LoadReport load;
    /// Set if the backend server crashed before its answer had begun; the same for all calls that
    /// were lost in this crash.
    std::optional<framework::CrashId> crash;

    bool operator==(const StageResult &) const = default;
};

} // namespace lavendertally::protocol
