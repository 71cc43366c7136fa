#pragma once

#include "framework/types/ordinal.h"

namespace lavendertally::membership {

struct MembershipGenerationTag;

/// Counts the changes of the membership that one process knows.
using MembershipGeneration = framework::Ordinal<MembershipGenerationTag>;

} // namespace lavendertally::membership
