#pragma once

namespace lavendertally::transport {

/// A stage call under way. Destroying it cancels the call and silences its observer.
class IStageCall
{
public:
    virtual ~IStageCall() = default;
};

} // namespace lavendertally::transport
