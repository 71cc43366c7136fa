#include "orders/internal/orderservice.h"

#include "framework/asyncerror.h"
#include "framework/iclock.h"
#include "framework/ilogger.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "orders/iengineport.h"

#include <algorithm>
#include <utility>

namespace lavendertally::orders {

namespace {

/// Times that one order asks for the lease before it gives up.
constexpr int MaxRounds = 8;

infrastructure::StreamName streamOf(const framework::HostId &host)
{
    return infrastructure::StreamName("orders." + host.value());
}

} // namespace

OrderService::OrderService(const framework::HostId &host, HolderId holder,
                           const OrderPolicy &policy, infrastructure::ILogService &log,
                           IEnginePort &engine, framework::IScheduler &scheduler,
                           const framework::IClock &clock, framework::ILogger &logger)
    : m_policy(policy), m_engine(engine), m_scheduler(scheduler), m_clock(clock), m_logger(logger),
      m_keeper(streamOf(host), std::move(holder), policy, log, clock, logger)
{ }

OrderService::~OrderService() = default;

void OrderService::order(const EngineOrder &order,
                         std::function<void(framework::Result<void>)> callback)
{
    m_pending.push_back({order, std::move(callback)});
    if (!m_busy) {
        beginNext();
    }
}

void OrderService::release()
{
    m_releaseWanted = true;
    if (!m_busy) {
        beginNext();
    }
}

void OrderService::beginNext()
{
    m_busy = !m_pending.empty();
    if (m_busy) {
        m_roundsLeft = MaxRounds;
        m_timer = m_scheduler.callAfter(framework::Milliseconds(0), [this] { acquire(); });
        return;
    }
    if (std::exchange(m_releaseWanted, false)) {
        m_keeper.release();
    }
}

void OrderService::acquire()
{
    if (m_roundsLeft-- == 0) {
        finish(framework::asyncError<void>(OrderError::LeaseLost));
        return;
    }
    m_keeper.acquire(m_policy.orderTimeout, [this](framework::Result<HeldLease> lease) {
        if (lease) {
            sendWhenSafe(*lease);
            return;
        }
        const auto error = framework::errorOf(std::move(lease), OrderError::LogUnavailable);
        finish(framework::asyncError<void>(error));
    });
}

void OrderService::sendWhenSafe(const HeldLease &lease)
{
    const framework::TimePoint now = m_clock.now();
    const framework::TimePoint safe = safeFrom(lease);
    if (now < safe) {
        // The lease may run out meanwhile, so it is asked for again.
        m_timer = m_scheduler.callAfter(safe - now, [this] { acquire(); });
        return;
    }
    if (lease.end < now + m_policy.orderTimeout) {
        acquire();
        return;
    }
    send(lease);
}

framework::TimePoint OrderService::safeFrom(const HeldLease &lease) const
{
    if (m_policy.engineChecksFencing) {
        return {};
    }
    return std::max(lease.othersEnd, m_unknownOrderEnd);
}

void OrderService::send(const HeldLease &lease)
{
    m_unknownOrderEnd = m_clock.now() + m_policy.orderTimeout;
    m_engine.send(
        m_pending.front().order, lease.fencing, m_policy.orderTimeout,
        [this, alive = std::weak_ptr<const bool>(m_alive)](framework::Result<void> result) {
            if (!alive.expired()) {
                finishSent(std::move(result));
            }
        });
}

void OrderService::finishSent(framework::Result<void> result)
{
    if (result) {
        m_unknownOrderEnd = {};
        finish({});
        return;
    }
    const auto error = framework::errorOf(std::move(result), OrderError::Unknown);
    if (error != OrderError::Unknown) {
        m_unknownOrderEnd = {};
    }
    if (error != OrderError::NotApplied) {
        // An order that may still be under way must not overtake a later one.
        m_keeper.renewNext();
        m_logger.warning("engine did not confirm an order; next order gets a new fencing number",
                         {{"argument", m_pending.front().order.argument}});
    }
    finish(framework::asyncError<void>(error));
}

void OrderService::finish(framework::Result<void> result)
{
    const auto callback = std::move(m_pending.front().callback);
    m_pending.pop_front();
    const std::weak_ptr<const bool> alive = m_alive;
    callback(std::move(result));
    if (!alive.expired()) {
        beginNext();
    }
}

} // namespace lavendertally::orders
