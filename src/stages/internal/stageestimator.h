#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"
#include "stages/types/stagelimits.h"

#include <map>
#include <optional>

namespace lavendertally::membership {
class IBackendServers;
}

namespace lavendertally::serving {
class IServingState;
struct StagePool;
} // namespace lavendertally::serving

namespace lavendertally::stages {

class ResultLedger;
class StageJobState;

/// Estimates how long the stages of jobs take.
class StageEstimator
{
public:
    StageEstimator(const serving::IServingState &serving,
                   const membership::IBackendServers &servers, ResultLedger &ledger,
                   const StageLimits &limits);

    /// \return how the backend servers of a service work on stages, or null
    const serving::StagePool *findPool(const framework::ServiceId &service) const;

    /// \return time from the start of a stage to the end of the last one that follows it, with
    /// half-full batches on the way
    framework::Milliseconds tail(const StageJobState &job, std::size_t stage) const;

    /// \return due date of the job among all jobs: its objective, with a lead for the more urgent
    framework::TimePoint rank(const StageJobState &job) const;

    /// Begins an estimate of the work ahead of a job.
    void reset() { m_work.clear(); }
    /// Adds what \p job still has to do.
    void add(const StageJobState &job);
    /// Adds a call under way.
    /// \param left time that it still takes
    void add(const framework::ServiceId &service, framework::Milliseconds left);

    /// \return when the job would be done with the work that was added ahead of it
    framework::TimePoint finish(const StageJobState &job, framework::TimePoint now);

    /// \return the service that the job would wait for longest
    framework::ServiceId bottleneck(const StageJobState &job, framework::TimePoint now);

private:
    framework::Milliseconds wait(const framework::ServiceId &service, framework::TimePoint now);
    double workingServers(const framework::ServiceId &service, framework::TimePoint now);

    const serving::IServingState &m_serving;
    const membership::IBackendServers &m_servers;
    ResultLedger &m_ledger;
    const StageLimits &m_limits;
    /// Work in milliseconds of one backend server.
    std::map<framework::ServiceId, double> m_work;
};

} // namespace lavendertally::stages
