#pragma once

#include "claims/types/claimid.h"
#include "claims/types/claimkey.h"

#include <optional>
#include <string>

namespace lavendertally::claims {

/// Record: the stage has run under this claim.
struct StageDone
{
    ClaimKey key;
    ClaimId id;
    /// Absent if it was too large or not valid UTF-8.
    std::optional<std::string> result;

    bool operator==(const StageDone &) const = default;
};

} // namespace lavendertally::claims
