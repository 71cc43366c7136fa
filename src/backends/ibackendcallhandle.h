#pragma once

namespace lavendertally::backends {

/// Handle of a call in flight. Destroying it cancels the call; its observer is not called again.
class IBackendCallHandle
{
public:
    virtual ~IBackendCallHandle() = default;

    /// Holds the backend server back: the observer gets no further part of the answer, and no more
    /// than a bounded part is received. Does nothing for a handle of a probe.
    virtual void pauseReading() { }
    /// Hands on, later, what has arrived since pauseReading() and what follows, the end included.
    virtual void resumeReading() { }
};

} // namespace lavendertally::backends
