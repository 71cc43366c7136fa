#pragma once

#include "protocol/types/crashevidence.h"

#include <vector>

namespace lavendertally::protocol {

/// Evidence about prompt parts that crash backend servers, as one daemon tells it to another.
struct CrashReport
{
    std::vector<CrashEvidence> evidence;
    /// Whether this is all that the sender knows; the receiver answers with what the sender lacks.
    bool isComplete = false;

    bool operator==(const CrashReport &) const = default;
};

} // namespace lavendertally::protocol
