#pragma once

namespace lavendertally::rollout {

enum class StatusWriteOutcome
{
    Written,
    /// Something was written since the offset that was named; nothing was done.
    Outdated,
    /// The store cannot be reached, or it is not known whether it was done.
    Failed,
};

} // namespace lavendertally::rollout
