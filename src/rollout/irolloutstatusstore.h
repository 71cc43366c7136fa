#pragma once

#include "framework/types/ids.h"
#include "rollout/types/rolloutstatus.h"
#include "rollout/types/statuswriteoutcome.h"

#include <functional>
#include <optional>
#include <vector>

namespace lavendertally::rollout {

/// The statuses of rollouts in the platform's store. One call at a time; a new one cancels the one
/// before.
class IRolloutStatusStore
{
public:
    struct Content
    {
        std::vector<RolloutStatus> statuses;
        /// End of the topic, for write().
        framework::LogOffset end;
    };

    virtual ~IRolloutStatusStore() = default;

    /// \param callback gets nothing if the store cannot be read
    virtual void read(std::function<void(std::optional<Content>)> callback) = 0;

    /// Writes a status unless anything was written to the topic since \p at.
    /// \param at end of the topic when it was read
    virtual void write(const RolloutStatus &status, framework::LogOffset at,
                       std::function<void(StatusWriteOutcome)> callback) = 0;
};

} // namespace lavendertally::rollout
