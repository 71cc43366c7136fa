#pragma once

#include "framework/types/milliseconds.h"
#include "protocol/types/crashevidence.h"

#include <cstddef>
#include <vector>

namespace lavendertally::protocol {

/// Most entries of a report, and their greatest age; a report that exceeds them is refused.
constexpr std::size_t MaxReportedEvidence = 256;
constexpr framework::Milliseconds MaxEvidenceAge{86400000};

/// Evidence about prompt parts that crash backend servers, as one daemon tells it to another.
struct CrashReport
{
    std::vector<CrashEvidence> evidence;
    /// Whether this is all that the sender knows; the receiver answers with what the sender lacks.
    bool isComplete = false;

    bool operator==(const CrashReport &) const = default;
};

} // namespace lavendertally::protocol
