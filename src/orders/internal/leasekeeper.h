#pragma once

#include "framework/result.h"
#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "infrastructure/types/streamname.h"
#include "orders/internal/leaselog.h"
#include "orders/internal/otherleases.h"
#include "orders/types/heldlease.h"
#include "orders/types/holderid.h"
#include "orders/types/ordererror.h"
#include "orders/types/orderpolicy.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace lavendertally::framework {
class IClock;
class ILogger;
} // namespace lavendertally::framework

namespace lavendertally::infrastructure {
class ILogService;
enum class InfrastructureError;
struct LogPage;
} // namespace lavendertally::infrastructure

namespace lavendertally::orders {

/// Takes and renews this process's lease through the log. Whoever held it once and then sees
/// another holder gives up for good: at most one process at a time is the engine's, and the later
/// one is in the right.
class LeaseKeeper
{
public:
    using Callback = std::function<void(framework::Result<HeldLease>)>;

    LeaseKeeper(infrastructure::StreamName stream, HolderId holder, const OrderPolicy &policy,
                infrastructure::ILogService &log, const framework::IClock &clock,
                framework::ILogger &logger);

    /// Makes sure that this process holds the lease for some time from now on. One call at a time.
    /// \param needed time that must be left
    /// \param callback gets the lease, or OrderError::LogUnavailable or LeaseLost; it may be called
    /// from within
    void acquire(framework::Milliseconds needed, Callback callback);

    /// Makes the next acquire() get a greater fencing number.
    void renewNext() { m_renewNext = true; }

    /// Gives the lease back; nobody waits for the log's answer.
    void release();

private:
    void beginRound();
    void catchUp();
    void appendLease();
    void readUntilSeen(std::uint64_t attempt, framework::TimePoint deadline);
    void judge();

    void read(framework::Milliseconds wait,
              std::function<void(const infrastructure::LogPage &)> then);
    void restartAtFirstKept(framework::LogOffset first);
    void apply(const infrastructure::LogPage &page);
    void applyRecord(framework::LogOffset offset, const LeaseRecord &record);
    void takeOverLease(const LeaseRecord &record, framework::LogOffset offset);

    bool isHolder() const;
    bool hasTimeLeft() const;
    void succeed();
    void fail(OrderError error);
    void giveUp();

    /// \return a callback that does nothing once this object is gone
    template <typename T>
    std::function<void(framework::Result<T>)>
    guarded(std::function<void(framework::Result<T>)> callback) const
    {
        return [alive = std::weak_ptr<const bool>(m_alive),
                callback = std::move(callback)](framework::Result<T> result) {
            if (!alive.expired()) {
                callback(std::move(result));
            }
        };
    }

    infrastructure::StreamName m_stream;
    HolderId m_holder;
    OrderPolicy m_policy;
    infrastructure::ILogService &m_logService;
    const framework::IClock &m_clock;
    framework::ILogger &m_logger;
    LeaseLog m_leaseLog;
    OtherLeases m_others;
    framework::LogOffset m_next;
    std::optional<HeldLease> m_held;
    bool m_everHeld = false;
    bool m_superseded = false;
    bool m_renewNext = false;
    std::uint64_t m_attempt = 0;
    /// Greatest attempt whose record has been read.
    std::uint64_t m_seenAttempt = 0;
    /// When the record of each attempt was sent.
    std::map<std::uint64_t, framework::TimePoint> m_sentAt;
    framework::Milliseconds m_needed;
    int m_roundsLeft = 0;
    Callback m_callback;
    std::shared_ptr<const bool> m_alive = std::make_shared<const bool>(true);
};

} // namespace lavendertally::orders
