#pragma once

namespace lavendertally::proxy {

/// A call to a backend server that is in flight. Destroying it cancels the call; its observer is
/// not called any more.
class IBackendCall
{
public:
    virtual ~IBackendCall() = default;

    /// \return whether the backend server may have seen a part of the request, which may thus have
    /// run
    virtual bool hasSent() const { return true; }

    /// Holds the backend server back: the observer gets no further part of the response, and no
    /// more than a bounded part is received. Does nothing for a call without a response.
    virtual void pauseReading() { }
    /// Hands on, later, what has arrived since pauseReading() and what follows, the end included.
    virtual void resumeReading() { }
};

} // namespace lavendertally::proxy
