#pragma once

#include "framework/types/ids.h"
#include "protocol/types/stagejob.h"
#include "protocol/types/stagejoboutcome.h"

#include <functional>
#include <vector>

namespace lavendertally::stages {

/// Runs the stages of requests, wherever their coordinator is.
class IStageService
{
public:
    virtual ~IStageService() = default;

    /// \param done called once, later, unless the job is cancelled
    virtual void start(const protocol::StageJob &job,
                       std::function<void(protocol::StageJobOutcome)> done) = 0;

    virtual void cancel(const framework::RequestId &request) = 0;

    /// Results of a job that is done are not needed any more.
    virtual void release(const std::vector<framework::StageResultId> &results) = 0;

    /// This daemon is about to stop: jobs that it coordinates and has not begun go elsewhere.
    virtual void handOver() = 0;
};

} // namespace lavendertally::stages
