#pragma once

#include "framework/types/milliseconds.h"

#include <functional>
#include <memory>

namespace lavendertally::framework {

class ITimer;

/// Runs callbacks later on the thread of the event loop.
class IScheduler
{
public:
    virtual ~IScheduler() = default;

    /// Schedules one call.
    /// \param delay time to wait; zero means after the current callback returns. When a pause of
    /// the process has made the call late, input that has arrived meanwhile is handled first \param
    /// callback called once, never from within this function \return handle that cancels the call
    /// when it is destroyed
    virtual std::unique_ptr<ITimer> callAfter(Milliseconds delay,
                                              std::function<void()> callback) = 0;
};

} // namespace lavendertally::framework
