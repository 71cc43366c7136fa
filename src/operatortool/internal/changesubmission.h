#pragma once

#include "configuration/types/operatorchange.h"
#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"
#include "operatortool/types/changeoutcome.h"

#include <functional>
#include <memory>

namespace lavendertally::framework {
class IClock;
class IScheduler;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::operatortool {

class IOperatorClient;

/// Submits a change under one operation id until its outcome is known or the time runs out.
class ChangeSubmission
{
public:
    /// \param client, scheduler, clock outlive this object
    ChangeSubmission(IOperatorClient &client, framework::IScheduler &scheduler,
                     const framework::IClock &clock, configuration::OperatorChange change,
                     framework::Milliseconds timeLimit);
    ~ChangeSubmission();

    /// Tells that an earlier run of the tool may have published the change.
    void assumeMayBePublished() { m_mayBePublished = true; }

    /// \param callback called once
    void start(std::function<void(ChangeOutcome)> callback);

private:
    void attempt();
    void handleOutcome(ChangeOutcome outcome);
    void finish(ChangeOutcome outcome);

    IOperatorClient &m_client;
    framework::IScheduler &m_scheduler;
    const framework::IClock &m_clock;
    configuration::OperatorChange m_change;
    framework::TimePoint m_deadline;
    framework::Milliseconds m_backoff;
    /// Whether an attempt ended without an outcome; then only a verdict ends the uncertainty.
    bool m_mayBePublished = false;
    std::function<void(ChangeOutcome)> m_callback;
    std::unique_ptr<framework::ITimer> m_retryTimer;
};

} // namespace lavendertally::operatortool
