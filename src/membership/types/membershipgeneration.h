#pragma once

#include "framework/types/ordinal.h"

namespace lavendertally::membership {

struct MembershipGenerationTag;

/// Counts the changes of what one process knows about hosts.
using MembershipGeneration = framework::Ordinal<MembershipGenerationTag>;

} // namespace lavendertally::membership
