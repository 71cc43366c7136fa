#pragma once

#include "framework/types/milliseconds.h"
#include "protocol/types/rolloutstep.h"
#include "rollout/types/rolloutbounds.h"

#include <cstddef>
#include <cstdint>

namespace lavendertally::rollout {

/// When the steps of a rollout begin and how much the new version gets in them; see
/// docs/design/rollouts.md for the worst case that follows.
class RolloutPlan
{
public:
    /// \param duration from the order to its deadline
    RolloutPlan(const RolloutBounds &bounds, framework::Milliseconds duration)
        : m_exposureShare(bounds.exposureShare), m_exposureSlack(bounds.exposureSlack),
          m_duration(duration)
    { }

    /// \return share of the requests that go to the new version on the canary
    double canaryShare() const;
    /// \return share of all requests that it may have had before it gets everything
    double cap() const;
    /// \return requests that all daemons together may have sent to it beyond these shares
    double slack(framework::Milliseconds elapsed) const;
    /// \param targetServers ready servers of the new version, at least one
    /// \return number of them that get requests before it gets everything
    std::size_t canaryServers(std::size_t targetServers) const;
    /// \return share of the requests of the step Canary or FullLoad
    double share(protocol::RolloutStep step, std::size_t targetServers) const;

    /// \return least time on the canary, also if its servers are ready only late
    framework::Milliseconds minCanaryTime() const;

    /// \param elapsed time since the order
    /// \param longestOld time that the slowest requests at old servers take
    /// \return step that the time allows if there is nothing against the new version
    protocol::RolloutStep stepAt(framework::Milliseconds elapsed,
                                 framework::Milliseconds longestOld) const;

private:
    framework::Milliseconds part(double share) const;

    double m_exposureShare;
    std::uint32_t m_exposureSlack;
    framework::Milliseconds m_duration;
};

} // namespace lavendertally::rollout
