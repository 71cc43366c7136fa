#pragma once

#include "framework/types/timepoint.h"

namespace lavendertally::routing {

class ServerWork;
class ServiceWork;
struct RequestWork;

/// Expected times of one request at one backend server, in milliseconds.
struct CompletionEstimate
{
    /// Prompt tokens that the server would have to read.
    double readTokens = 0.0;
    /// For the prompts that are read before.
    double waitMs = 0.0;
    /// To the first event, with waitMs.
    double firstEventMs = 0.0;
    /// For the events after the first.
    double writeMs = 0.0;
    /// Delay of the streams that run beside it, summed over them, while its prompt is read.
    double neighbourMs = 0.0;
    /// Delay of the requests that wait there or will, summed over them, by the reading of its
    /// prompt. It grows with the load, and with it the value of what need not be read.
    double queueMs = 0.0;
    /// For the shared parts of its prompt that the server does not keep.
    double evictionMs = 0.0;
    /// Streams, this one included, that would have a longer pause than they tolerate.
    double brokenStreams = 0.0;

    double totalMs() const { return firstEventMs + writeMs; }

    /// \param keptTokens tokens of the prompt that the server probably keeps
    /// \param writeTokens expected output tokens
    static CompletionEstimate make(const ServerWork &server, const ServiceWork &service,
                                   const RequestWork &work, double keptTokens, double writeTokens,
                                   framework::TimePoint now);
};

} // namespace lavendertally::routing
