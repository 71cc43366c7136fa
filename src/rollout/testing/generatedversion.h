#pragma once

#include "framework/types/milliseconds.h"

#include <cstddef>
#include <cstdint>

namespace lavendertally::rollout {

/// How the new version of a generated case behaves.
struct GeneratedVersion
{
    enum class Onset
    {
        Never,
        AtOnce,
        /// From badFrom on.
        Late,
        /// At servers that bear more than half of what they would bear after the rollout.
        UnderLoad,
    };

    Onset onset = Onset::Never;
    framework::Milliseconds badFrom;
    /// Only the first route is bad.
    bool isOneRouteBad = false;
    /// Share of the answers that fail while it is bad.
    double failureShare = 0.0;
    /// How many times slower its answers are while it is bad.
    double slowdown = 1.0;
};

} // namespace lavendertally::rollout
