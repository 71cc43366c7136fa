#pragma once

#include "framework/types/timepoint.h"
#include "membership/types/hostentry.h"

#include <vector>

namespace lavendertally::routing {

/// Decides which backend hosts are asked for a load report.
class IProbePolicy
{
public:
    virtual ~IProbePolicy() = default;

    /// Call it at a fixed interval and pass the reports to IHostSelector::observeLoad().
    /// \return hosts to probe now: those in cold start, with recent failures or without a recent
    /// report, the one with the oldest report or probe first
    virtual std::vector<membership::HostEntry> hostsToProbe(framework::TimePoint now) = 0;
};

} // namespace lavendertally::routing
