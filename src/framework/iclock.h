#pragma once

#include "framework/types/timepoint.h"

namespace lavendertally::framework {

/// Source of time. Tests use a clock that they advance themselves.
class IClock
{
public:
    virtual ~IClock() = default;

    /// \return monotonic time of this process
    virtual TimePoint now() const = 0;

    /// \return milliseconds since 1970-01-01 UTC; may jump, so it is only for what other
    /// processes or people compare
    virtual TimePoint wallNow() const = 0;
};

} // namespace lavendertally::framework
