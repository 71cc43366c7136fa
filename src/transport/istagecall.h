#pragma once

namespace lavendertally::transport {

/// A stage call in flight. Destroying it cancels the call; its observer is not called afterwards.
class IStageCall
{
public:
    virtual ~IStageCall() = default;
};

} // namespace lavendertally::transport
