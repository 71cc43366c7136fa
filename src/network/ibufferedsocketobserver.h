#pragma once

namespace lavendertally::network {

/// Receives the events of a BufferedSocket. Each callback may destroy the socket.
class IBufferedSocketObserver
{
public:
    virtual ~IBufferedSocketObserver() = default;

    /// The connection that BufferedSocket::connect() started is established.
    virtual void onConnected() { }
    /// New input has arrived; see BufferedSocket::input().
    virtual void onReadable() = 0;
    /// The output buffer has been passed to the kernel completely. Not called if
    /// BufferedSocket::write() passed everything to the kernel at once.
    virtual void onFlushed() { }
    /// The peer has closed its sending side; see BufferedSocket::watchPeerClose(). Input may still
    /// be unread, and onClosed() follows once it has been read.
    virtual void onPeerClosing() { }
    /// The connection has ended or could not be established. Called a second time if sending has
    /// failed and the end of the input is read later.
    /// \param inOrder true if the peer closed its sending side, false if the connection has failed,
    /// in whichever direction
    virtual void onClosed(bool inOrder) = 0;
};

} // namespace lavendertally::network
