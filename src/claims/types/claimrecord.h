#pragma once

#include "claims/types/claimmade.h"
#include "claims/types/claimreleased.h"
#include "claims/types/stagedone.h"

#include <variant>

namespace lavendertally::claims {

/// One record of a claim stream.
using ClaimRecord = std::variant<ClaimMade, StageDone, ClaimReleased>;

} // namespace lavendertally::claims
