#pragma once

namespace lavendertally::network {

/// Receives what happens on a BufferedSocket. Each function may destroy the socket.
class IBufferedSocketObserver
{
public:
    virtual ~IBufferedSocketObserver() = default;

    virtual void onConnected() { }
    virtual void onReadable() = 0;
    /// Everything written has been handed to the kernel.
    virtual void onFlushed() { }
    /// \param inOrder whether the peer closed its side; otherwise the connection broke
    virtual void onClosed(bool inOrder) = 0;
};

} // namespace lavendertally::network
