#pragma once

namespace lavendertally::membership {

/// Why a host may not receive new work.
enum class HostExclusion
{
    None,
    Leaving,
    ZoneOut,
    HostOut,
    /// It refused work with a reason that this process has not confirmed yet.
    Refused,
};

} // namespace lavendertally::membership
