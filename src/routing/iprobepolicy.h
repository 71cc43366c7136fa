#pragma once

#include "framework/types/timepoint.h"
#include "membership/types/hostentry.h"

#include <vector>

namespace lavendertally::routing {

/// Decides which hosts are asked for their load.
class IProbePolicy
{
public:
    virtual ~IProbePolicy() = default;

    /// Call it at a fixed interval; the answers go to IHostSelector::observeLoad().
    /// \return hosts to ask now: those in cold start, ejected or without a recent report, the
    /// longest unheard first
    virtual std::vector<membership::HostEntry> hostsToProbe(framework::TimePoint now) = 0;
};

} // namespace lavendertally::routing
