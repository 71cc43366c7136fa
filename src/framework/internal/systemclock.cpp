#include "framework/internal/systemclock.h"

#include <chrono>

namespace lavendertally::framework {

namespace {

template <typename Clock>
TimePoint read()
{
    const auto sinceEpoch = Clock::now().time_since_epoch();
    return TimePoint(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

} // namespace

TimePoint SystemClock::now() const
{
    return read<std::chrono::steady_clock>();
}

TimePoint SystemClock::wallNow() const
{
    return read<std::chrono::system_clock>();
}

} // namespace lavendertally::framework
