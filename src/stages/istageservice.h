#pragma once

#include "framework/types/ids.h"
#include "protocol/types/stagejob.h"
#include "protocol/types/stagejoboutcome.h"

#include <functional>
#include <vector>

namespace lavendertally::stages {

/// Runs the stages of requests on whichever daemon currently coordinates stages.
class IStageService
{
public:
    virtual ~IStageService() = default;

    /// Submits a job to the coordinator.
    /// \param done called once unless the job is cancelled, never from within this function
    virtual void start(const protocol::StageJob &job,
                       std::function<void(protocol::StageJobOutcome)> done) = 0;

    /// Cancels a job; its callback is not called. Unknown requests are ignored.
    virtual void cancel(const framework::RequestId &request) = 0;

    /// Frees results of a completed job.
    virtual void release(const std::vector<framework::StageResultId> &results) = 0;

    /// Hands the jobs that this daemon coordinates and has not started over to another coordinator.
    /// To be called when this daemon starts to shut down.
    virtual void handOver() = 0;
};

} // namespace lavendertally::stages
