#pragma once

#include "claims/types/claimid.h"
#include "claims/types/claimkey.h"

#include <optional>
#include <string>

namespace lavendertally::claims {

/// Record: the holder of a claim ran the stage.
struct StageDone
{
    ClaimKey key;
    ClaimId id;
    /// Absent when it was too large to keep or no UTF-8 text.
    std::optional<std::string> result;

    bool operator==(const StageDone &) const = default;
};

} // namespace lavendertally::claims
