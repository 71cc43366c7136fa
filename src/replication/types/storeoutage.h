#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"

namespace lavendertally::replication {

/// Time in which the store answered no daemon that this one heard from.
struct StoreOutage
{
    /// Newest instant before it at which the store is known to have answered.
    framework::TimePoint began;
    /// When it answered again.
    framework::TimePoint ended;

    framework::Milliseconds length() const { return ended - began; }
};

/// Shorter outages let no registration lapse: a backend server registers again before it has missed
/// three heartbeats.
constexpr framework::Milliseconds MinStoreOutage{2000};

} // namespace lavendertally::replication
