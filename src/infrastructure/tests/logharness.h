#pragma once

#include "infrastructure/ilogservice.h"

#include <string>
#include <vector>

namespace lavendertally::infrastructure {

/// Fault that every implementation of the log service can be put under.
enum class LogTrouble
{
    None,
    Down,
    Slow,
    Frozen,
    LostAnswer,
    Doubled,
    Reordered,
    Lagging,
    Truncated,
    RateLimited,
};

/// A log service and its faults, as the contract tests need them.
class LogHarness
{
public:
    virtual ~LogHarness() = default;

    virtual ILogService &service() = 0;
    /// Destroys the service.
    virtual void drop() = 0;
    virtual void setTrouble(LogTrouble trouble) = 0;
    virtual void expireUpTo(const StreamName &stream, framework::LogOffset first) = 0;
    virtual std::vector<std::string> records(const StreamName &stream) const = 0;

    /// Runs until stop(), or for a short time that is long enough for any answer.
    virtual void run() = 0;
    virtual void stop() = 0;
    /// Runs until each call begun before must have reached its timeout.
    virtual void settle() = 0;
};

} // namespace lavendertally::infrastructure
