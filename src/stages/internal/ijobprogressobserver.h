#pragma once

#include <cstddef>
#include <cstdint>

namespace lavendertally::stages {

class StageJobState;

/// Receives the changes of a job that indexes over all jobs depend on.
class IJobProgressObserver
{
public:
    virtual ~IJobProgressObserver() = default;

    /// \param stage position of the stage in the job
    /// \param change pieces that wait now and did not before; negative if fewer wait
    virtual void onWaitingChanged(const StageJobState &job, std::size_t stage,
                                  std::int64_t change) = 0;
    /// The first piece of the job has been sent.
    virtual void onStarted(const StageJobState &job) = 0;
};

} // namespace lavendertally::stages
