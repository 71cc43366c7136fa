#pragma once

#include "framework/types/stringid.h"

namespace lavendertally::claims {

struct ClaimTag;

/// One attempt to claim a key; never used for two attempts, not even after a restart.
using ClaimId = framework::StringId<ClaimTag>;

} // namespace lavendertally::claims
