#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "rollout/irolloutstatusstore.h"
#include "rollout/types/rolloutorder.h"
#include "rollout/types/rolloutstatus.h"

#include <map>
#include <memory>
#include <optional>

namespace lavendertally::framework {
class IClock;
class ILogger;
class IMetrics;
class IScheduler;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::rollout {

/// Keeps the statuses in the store as the decider wants them. Each write is on condition that
/// nobody has written since the last read, so that two deciders cannot contradict each other; a
/// final status of an order is never replaced.
class StatusWriter
{
public:
    StatusWriter(IRolloutStatusStore &store, framework::IScheduler &scheduler,
                 const framework::IClock &clock, framework::ILogger &logger,
                 framework::IMetrics &metrics);
    ~StatusWriter();
    StatusWriter(const StatusWriter &) = delete;
    StatusWriter &operator=(const StatusWriter &) = delete;

    /// Begins to write; reads first, since another daemon may have written.
    void start();
    /// Ends what is under way; another daemon decides from now on.
    void stop();
    /// Reads the statuses anew: the store came back from a copy.
    void readAgain();

    /// Sets what the status is to be.
    void want(const RolloutStatus &status);
    /// Ends the interest in the status of a service.
    void forget(const framework::ServiceId &service);

    /// \return whether the statuses have been read, or cannot be for now
    bool isDecidable() const;
    /// \return the status in the store, if it is of this order or stands for it
    std::optional<RolloutStatus> known(const RolloutOrder &order) const;

private:
    void process();
    void read();
    void writeNext();
    void onRead(std::optional<IRolloutStatusStore::Content> content);
    void onWritten(const RolloutStatus &status, StatusWriteOutcome outcome);
    void retry();
    static bool isOf(const RolloutStatus &status, const RolloutOrder &order);
    bool needsWrite(const RolloutStatus &wanted) const;

    IRolloutStatusStore &m_store;
    framework::IScheduler &m_scheduler;
    const framework::IClock &m_clock;
    framework::ILogger &m_logger;
    framework::IMetrics &m_metrics;
    std::map<framework::ServiceId, RolloutStatus> m_wanted;
    std::map<framework::ServiceId, RolloutStatus> m_known;
    framework::LogOffset m_end;
    framework::TimePoint m_started;
    bool m_isActive = false;
    bool m_isRead = false;
    bool m_isCurrent = false;
    bool m_isBusy = false;
    bool m_isFailing = false;
    std::unique_ptr<framework::ITimer> m_retryTimer;
};

} // namespace lavendertally::rollout
