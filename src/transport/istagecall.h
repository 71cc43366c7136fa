#pragma once

namespace lavendertally::transport {

/// A stage call in flight. Destroying it cancels the call; its observer is not called afterwards.
class IStageCall
{
public:
    virtual ~IStageCall() = default;

    /// Holds the host process back: the observer gets no further chunk and no result, and no more
    /// than a bounded part of the answer is received.
    virtual void pauseReading() = 0;
    /// Hands on, later, what has arrived since pauseReading() and what follows.
    virtual void resumeReading() = 0;
};

} // namespace lavendertally::transport
