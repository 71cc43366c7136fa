#pragma once

namespace lavendertally::rollout {

/// What the status of a rollout says.
enum class RolloutState
{
    Running,
    Completed,
    RolledBack,
};

} // namespace lavendertally::rollout
