#pragma once

namespace lavendertally::framework {

/// A call scheduled for later. Destroying it cancels the call.
class ITimer
{
public:
    virtual ~ITimer() = default;
};

} // namespace lavendertally::framework
