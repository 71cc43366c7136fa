#pragma once

#include "framework/types/stringid.h"

namespace lavendertally::claims {

struct ClaimTag;

/// Identifies one attempt to claim a key. An id is never reused, not even after a restart.
using ClaimId = framework::StringId<ClaimTag>;

} // namespace lavendertally::claims
