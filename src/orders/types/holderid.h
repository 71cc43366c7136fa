#pragma once

#include "framework/types/stringid.h"

namespace lavendertally::orders {

struct HolderTag;

/// Process that gives orders; differs from start to start, also of the same daemon.
using HolderId = framework::StringId<HolderTag>;

} // namespace lavendertally::orders
