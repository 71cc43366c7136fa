#include "framework/internal/systemclock.h"

#include <chrono>
#include <ctime>

namespace lavendertally::framework {

namespace {

constexpr std::int64_t MillisecondsPerSecond = 1000;
constexpr std::int64_t NanosecondsPerMillisecond = 1000000;

} // namespace

TimePoint SystemClock::now() const
{
    // Unlike the steady clock, this one goes on while the host is suspended; what was learned
    // before must not count as fresh afterwards.
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(time.tv_sec * MillisecondsPerSecond
                     + time.tv_nsec / NanosecondsPerMillisecond);
}

TimePoint SystemClock::wallNow() const
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return TimePoint(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

} // namespace lavendertally::framework
