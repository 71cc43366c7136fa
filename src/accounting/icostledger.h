#pragma once

#include "accounting/types/costsnapshot.h"
#include "accounting/types/stageattempt.h"
#include "framework/types/units.h"

namespace lavendertally::accounting {

/// Attributes what backend servers cost to stages, teams and services.
class ICostLedger
{
public:
    virtual ~ICostLedger() = default;

    /// Records an attempt that ended.
    /// \return its cost
    virtual framework::MicroCost record(const StageAttempt &attempt) = 0;

    virtual CostSnapshot snapshot() const = 0;
};

} // namespace lavendertally::accounting
