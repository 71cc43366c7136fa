#pragma once

namespace lavendertally::configurationcheck {

/// When a difference takes effect at the gateways.
enum class Effect
{
    /// Not a difference.
    None,
    /// For every request that arrives after the gateway has the new version.
    AtOnce,
    /// What is under way continues under the old version until it ends.
    Drains,
};

} // namespace lavendertally::configurationcheck
