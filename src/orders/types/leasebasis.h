#pragma once

#include "framework/types/ids.h"

namespace lavendertally::orders {

/// State of the log under which a lease record is valid.
struct LeaseBasis
{
    enum class Kind
    {
        /// No valid record precedes.
        Nothing,
        /// The last valid record is the one at `after`.
        After,
        /// Any; for a writer that cannot read the records before because they have expired.
        Anything,
    };

    Kind kind = Kind::Nothing;
    framework::LogOffset after;

    bool operator==(const LeaseBasis &) const = default;
};

} // namespace lavendertally::orders
