#pragma once

#include "framework/result.h"

#include <functional>

namespace lavendertally::framework {

/// A long-running process in one of its roles.
class IDaemon
{
public:
    virtual ~IDaemon() = default;

    /// Starts listening and working.
    /// \return nothing, or the error of the layer that failed, with an ErrorContext
    virtual Result<void> start() = 0;

    /// Takes no new work, finishes what is under way and then calls \p finished once.
    virtual void drain(std::function<void()> finished) = 0;

    /// The settings file may have changed.
    virtual void reload() { }
};

} // namespace lavendertally::framework
