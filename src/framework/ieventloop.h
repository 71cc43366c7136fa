#pragma once

#include "framework/ischeduler.h"

#include <functional>
#include <memory>

struct event_base;

namespace lavendertally::framework {

/// The one loop of a process. Everything runs on its thread.
class IEventLoop : public IScheduler
{
public:
    /// Runs until stop() is called.
    virtual void run() = 0;

    /// Makes run() return after the current callback.
    virtual void stop() = 0;

    /// Calls \p callback on the loop's thread whenever the process gets \p signal.
    /// \return handle that removes the handler when it is destroyed
    virtual std::unique_ptr<ITimer> onSignal(int signal, std::function<void()> callback) = 0;

    /// \return the loop's libevent base, for transports only
    virtual event_base *base() = 0;
};

} // namespace lavendertally::framework
