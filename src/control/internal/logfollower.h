#pragma once

#include "framework/result.h"
#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"
#include "infrastructure/types/logpage.h"

#include <memory>
#include <optional>

namespace lavendertally::framework {
class IClock;
class IMetrics;
class IScheduler;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::infrastructure {
class ILogService;
}

namespace lavendertally::control {

class ReplicaUpdater;
class IIsolationPolicy;
class IRevisionSyncPolicy;

/// Reads the control stream from the log in the mode that the policy selects. At most one read is
/// in flight.
class LogFollower
{
public:
    LogFollower(infrastructure::ILogService &log, const IRevisionSyncPolicy &policy,
                IIsolationPolicy &isolation, ReplicaUpdater &updater,
                framework::IScheduler &scheduler, const framework::IClock &clock,
                framework::IMetrics &metrics, framework::Milliseconds checkInterval);
    ~LogFollower();
    LogFollower(const LogFollower &) = delete;
    LogFollower &operator=(const LogFollower &) = delete;

    void start();

    /// \return when the log last answered, or nothing
    std::optional<framework::TimePoint> lastAnswer() const { return m_lastAnswer; }

private:
    void schedule(framework::Milliseconds delay);
    void readIfDue();
    void read();
    void handleResult(framework::Result<infrastructure::LogPage> result);
    void handlePage(const infrastructure::LogPage &page);
    void handleError(bool expired);
    void findOldestOffset();

    infrastructure::ILogService &m_log;
    const IRevisionSyncPolicy &m_policy;
    IIsolationPolicy &m_isolation;
    ReplicaUpdater &m_updater;
    framework::IScheduler &m_scheduler;
    const framework::IClock &m_clock;
    framework::IMetrics &m_metrics;
    framework::Milliseconds m_checkInterval;
    framework::Milliseconds m_backoff;
    framework::TimePoint m_nextCheck;
    std::optional<framework::TimePoint> m_lastAnswer;
    /// Offset from which to search for a snapshot record; set while the own revision has expired
    /// from the log.
    std::optional<framework::LogOffset> m_snapshotScan;
    std::unique_ptr<framework::ITimer> m_timer;
    std::shared_ptr<const bool> m_alive = std::make_shared<bool>(true);
};

} // namespace lavendertally::control
