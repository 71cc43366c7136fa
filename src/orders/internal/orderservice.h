#pragma once

#include "framework/types/timepoint.h"
#include "orders/internal/leasekeeper.h"
#include "orders/iorderservice.h"
#include "orders/types/ordererror.h"
#include "orders/types/orderpolicy.h"

#include <deque>
#include <memory>

namespace lavendertally::framework {
class IScheduler;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::orders {

class IEnginePort;

/// Gives orders one after another, each under the lease.
class OrderService final : public IOrderService
{
public:
    OrderService(const framework::HostId &host, HolderId holder, const OrderPolicy &policy,
                 infrastructure::ILogService &log, IEnginePort &engine,
                 framework::IScheduler &scheduler, const framework::IClock &clock,
                 framework::ILogger &logger);
    ~OrderService() override;

    void order(const EngineOrder &order,
               std::function<void(framework::Result<void>)> callback) override;
    void release() override;

private:
    struct Pending
    {
        EngineOrder order;
        std::function<void(framework::Result<void>)> callback;
    };

    void beginNext();
    void acquire();
    void sendWhenSafe(const HeldLease &lease);
    framework::TimePoint safeFrom(const HeldLease &lease) const;
    void send(const HeldLease &lease);
    void finishSent(framework::Result<void> result);
    void finish(framework::Result<void> result);

    OrderPolicy m_policy;
    IEnginePort &m_engine;
    framework::IScheduler &m_scheduler;
    const framework::IClock &m_clock;
    framework::ILogger &m_logger;
    std::deque<Pending> m_pending;
    bool m_busy = false;
    bool m_releaseWanted = false;
    int m_roundsLeft = 0;
    /// When an earlier order whose outcome is unknown can no longer be applied.
    framework::TimePoint m_unknownOrderEnd;
    std::unique_ptr<framework::ITimer> m_timer;
    LeaseKeeper m_keeper;
    std::shared_ptr<const bool> m_alive = std::make_shared<const bool>(true);
};

} // namespace lavendertally::orders
