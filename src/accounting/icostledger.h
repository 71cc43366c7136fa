#pragma once

#include "accounting/types/costsnapshot.h"
#include "accounting/types/stageattempt.h"
#include "framework/types/units.h"

namespace lavendertally::accounting {

/// Attributes the cost of backend servers to stages, teams and services.
class ICostLedger
{
public:
    virtual ~ICostLedger() = default;

    /// Records an attempt that ended.
    /// \return its cost in whole units; the fraction is carried over to the next attempt
    virtual framework::MicroCost record(const StageAttempt &attempt) = 0;

    /// \return copy of all accounts
    virtual CostSnapshot snapshot() const = 0;
};

} // namespace lavendertally::accounting
