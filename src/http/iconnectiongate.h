#pragma once

#include "http/types/connectionclose.h"

#include <functional>

namespace lavendertally::framework {
struct Endpoint;
}

namespace lavendertally::http {

/// Limits the connections of a client to each server, and is told what becomes of them.
class IConnectionGate
{
public:
    virtual ~IConnectionGate() = default;

    /// \return whether another connection to \p server may be opened now
    virtual bool mayOpen(const framework::Endpoint &server) = 0;
    /// \return whether a connection to \p server that is no longer in use may stay open
    virtual bool mayKeep(const framework::Endpoint &server) = 0;
    /// \return whether another call may wait for a connection to \p server
    virtual bool mayWait(const framework::Endpoint &server) = 0;

    /// A connection attempt has begun; the connection is in use.
    virtual void connectionOpened(const framework::Endpoint &server) = 0;
    /// A connection in use has become idle.
    virtual void connectionIdle(const framework::Endpoint &server) = 0;
    /// An idle connection is in use again.
    virtual void connectionReused(const framework::Endpoint &server) = 0;
    virtual void connectionClosed(const framework::Endpoint &server, ConnectionClose state) = 0;

    /// A call waits for a connection.
    virtual void waitStarted(const framework::Endpoint &server) = 0;
    /// \param isServed whether the call has got a connection
    virtual void waitEnded(const framework::Endpoint &server, bool isServed) = 0;

    /// \param listener called when a call that waits may get a connection; never from within
    /// another function of the gate
    virtual void
    setWaitListener(std::function<void(const framework::Endpoint &server)> listener) = 0;
};

} // namespace lavendertally::http
