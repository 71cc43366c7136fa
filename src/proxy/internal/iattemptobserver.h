#pragma once

namespace lavendertally::proxy {

enum class AttemptResult;

/// Receives the progress of attempts at backend servers. Called on the event loop.
class IAttemptObserver
{
public:
    virtual ~IAttemptObserver() = default;

    /// The first event of a streamed response has arrived; it is passed on after this call.
    virtual void onStreamStarted() = 0;
    /// The attempt has ended. Called once for each attempt that is not cancelled.
    virtual void onAttemptEnded(AttemptResult result) = 0;
};

} // namespace lavendertally::proxy
