#pragma once

namespace lavendertally::protocol {

/// Why a stage or a request was refused or given up. Whether it may have run is told by the status
/// or outcome that comes with the reason.
enum class RefusalReason
{
    None,
    /// The backend server is in its cold start and at its reduced capacity.
    Cold,
    /// The concurrency limit is reached and the queue is full.
    Full,
    /// The host is draining or its daemon is shutting down.
    Leaving,
    /// Operators have taken the availability zone out of service.
    ZoneOut,
    /// Operators have taken the host out of service.
    HostOut,
    /// The remaining time is too short, or the deadline has passed.
    DeadlineUnreachable,
    /// The caller cancelled the request.
    Cancelled,
    UnknownPipeline,
    UnknownTeam,
    UnknownService,
    InvalidRequest,
    TooLarge,
    /// No backend server is available to take work.
    NoCapacity,
    /// The log service, needed for the claim of an at-most-once request, does not answer.
    LogUnavailable,
    /// Another attempt with the same request id holds the claim.
    ClaimedElsewhere,
    /// No configuration has been loaded yet.
    NotReady,
    /// No connection could be established, so nothing was sent.
    Unreachable,
    /// A part of the prompt crashes backend servers, or is suspected of it.
    PromptQuarantined,
};

} // namespace lavendertally::protocol
