#pragma once

#include "framework/types/timepoint.h"
#include "routing/internal/candidate.h"

namespace lavendertally::routing {

struct ServerQuery;

/// Chooses one of the backend servers that a call may be sent to.
class IServerChoice
{
public:
    virtual ~IServerChoice() = default;

    /// \param candidates at least one
    virtual const Candidate &choose(const Candidates &candidates, const ServerQuery &query,
                                    framework::TimePoint now) = 0;
};

} // namespace lavendertally::routing
