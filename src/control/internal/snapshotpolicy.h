#pragma once

#include "control/isnapshotpolicy.h"
#include "control/types/snapshotlimits.h"

namespace lavendertally::control {

/// A snapshot is due when the last one is older than half the retention.
class SnapshotPolicy final : public ISnapshotPolicy
{
public:
    SnapshotPolicy(const SnapshotLimits &limits, framework::TimePoint now);

    void noteSnapshot(framework::TimePoint now) override;
    void noteAttempt(framework::TimePoint now) override;
    bool isDue(std::size_t rank, framework::TimePoint now) const override;

private:
    SnapshotLimits m_limits;
    framework::TimePoint m_firstTurn;
    framework::TimePoint m_notBefore;
};

} // namespace lavendertally::control
