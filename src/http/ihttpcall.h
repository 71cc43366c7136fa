#pragma once

namespace lavendertally::http {

/// A call of a client under way. Destroying it cancels the call and silences its observer.
class IHttpCall
{
public:
    virtual ~IHttpCall() = default;

    /// \return whether the server may have seen a byte of the request
    virtual bool hasSent() const { return true; }

    /// Holds the server back: no further part of the response is handed on, and no more than a
    /// bounded part is read from the connection. The time limit of the call goes on. Does nothing
    /// for a call that hands no parts on.
    virtual void pauseReading() { }
    /// Hands on, later, what has arrived since pauseReading() and what follows, the end included.
    virtual void resumeReading() { }
};

} // namespace lavendertally::http
