#pragma once

namespace lavendertally::membership {

/// Why a host may not receive new work.
enum class HostExclusion
{
    None,
    Leaving,
    ZoneOut,
    HostOut,
    /// The host, or one of its zone, refused work for a reason that this process's own
    /// configuration does not confirm.
    Refused,
};

} // namespace lavendertally::membership
