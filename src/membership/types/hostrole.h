#pragma once

namespace lavendertally::membership {

enum class HostRole
{
    Entry,
    Backend,
};

} // namespace lavendertally::membership
