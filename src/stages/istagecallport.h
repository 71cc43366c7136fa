#pragma once

#include "framework/types/ids.h"
#include "stages/types/stagecalloutcome.h"
#include "stages/types/startstagecall.h"

#include <functional>
#include <vector>

namespace lavendertally::stages {

/// Calls to the backend servers that work on stages.
class IStageCallPort
{
public:
    virtual ~IStageCallPort() = default;

    /// \param done called once, later
    virtual void startCall(const StartStageCall &call,
                           std::function<void(StageCallOutcome)> done) = 0;

    /// Tells the backend servers that made these results to drop them. Best effort: a result also
    /// expires by itself.
    /// \param done called for each backend server that answered, with the results it has dropped
    virtual void
    freeResults(const std::vector<framework::StageResultId> &results,
                std::function<void(const std::vector<framework::StageResultId> &)> done) = 0;
};

} // namespace lavendertally::stages
