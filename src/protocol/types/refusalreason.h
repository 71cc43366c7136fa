#pragma once

namespace lavendertally::protocol {

/// Why a stage or a request was provably not run.
enum class RefusalReason
{
    None,
    /// The backend server is in cold start and carries all that it can.
    Cold,
    /// Running and waiting places are taken.
    Full,
    /// The host is leaving or its daemon shuts down.
    Leaving,
    ZoneOut,
    HostOut,
    /// The remaining time does not suffice.
    DeadlineUnreachable,
    /// The caller ended the request while it still waited.
    Cancelled,
    UnknownPipeline,
    UnknownTeam,
    UnknownService,
    InvalidRequest,
    TooLarge,
    /// No backend server may receive work.
    NoCapacity,
    /// The log service is needed for an at-most-once claim and does not answer.
    LogUnavailable,
    /// Another attempt under the same request id holds the claim.
    ClaimedElsewhere,
    /// No configuration is known yet.
    NotReady,
    /// The connection was never made, so nothing was sent.
    Unreachable,
};

} // namespace lavendertally::protocol
