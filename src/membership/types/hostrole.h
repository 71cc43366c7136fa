#pragma once

namespace lavendertally::membership {

/// Kind of daemon that runs on a host.
enum class HostRole
{
    Entry,
    Backend,
};

} // namespace lavendertally::membership
