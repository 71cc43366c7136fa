#pragma once

namespace lavendertally::configurationcheck {

/// A member of an entry that a finding can name.
enum class EntryField
{
    /// The entry itself.
    None,
    Name,
    HostName,
    Prefix,
    Kind,
    Timeout,
    LatencyObjective,
    Split,
    MaxAttempts,
    Stages,
    IsPublic,
    Service,
    After,
    MaxConnections,
    ColdLimit,
    Pool,
    BatchSize,
    Keys,
    Priority,
    MaxHeaders,
    MaxBody,
    HeaderTimeout,
    IdleTimeout,
};

} // namespace lavendertally::configurationcheck
