#pragma once

#include "framework/types/timepoint.h"
#include "framework/types/units.h"

namespace lavendertally::budget {

/// Rate at which bytes came in the last half second to second.
class RecentRate
{
public:
    void note(framework::Bytes amount, framework::TimePoint now);
    /// \return bytes per second
    framework::Bytes at(framework::TimePoint now) const;

private:
    /// When the current window began, of windows of equal length.
    framework::TimePoint m_begin;
    framework::Bytes m_current;
    framework::Bytes m_previous;
};

} // namespace lavendertally::budget
