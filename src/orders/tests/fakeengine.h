#pragma once

#include "framework/asyncerror.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "orders/types/ordererror.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lavendertally::orders {

/// Order as the engine of a test sees it.
struct ReceivedOrder
{
    std::string holder;
    framework::FencingNumber fencing;
    std::string argument;
};

/// Engine that applies orders after a delay, which never exceeds their timeout.
class FakeEngine
{
public:
    FakeEngine(framework::IScheduler &scheduler, bool checksFencing)
        : m_scheduler(scheduler), m_checksFencing(checksFencing)
    { }

    /// Sets what happens to the next order received.
    /// \param delay time until it is applied
    /// \param answerLost whether its sender waits in vain
    void setNext(framework::Milliseconds delay, bool answerLost)
    {
        m_delay = delay;
        m_answerLost = answerLost;
    }

    void receive(const ReceivedOrder &order, framework::Milliseconds timeout,
                 std::function<void(framework::Result<void>)> callback)
    {
        const framework::Milliseconds delay =
            std::min(std::exchange(m_delay, {}), timeout - framework::Milliseconds(1));
        const bool answerLost = std::exchange(m_answerLost, false);
        later(delay, [this, order, answerLost, callback] {
            const bool applied = apply(order);
            if (!answerLost) {
                answer(applied, callback);
            }
        });
        if (answerLost) {
            // The connection breaks at once; the order is applied later all the same.
            later({}, [callback] { callback(framework::asyncError<void>(OrderError::Unknown)); });
        }
    }

    const std::vector<ReceivedOrder> &applied() const { return m_applied; }

private:
    static void answer(bool applied, const std::function<void(framework::Result<void>)> &callback)
    {
        if (applied) {
            callback({});
        } else {
            callback(framework::asyncError<void>(OrderError::StaleFencing));
        }
    }

    bool apply(const ReceivedOrder &order)
    {
        if (m_checksFencing && order.fencing < m_highest) {
            return false;
        }
        m_highest = std::max(m_highest, order.fencing);
        m_applied.push_back(order);
        return true;
    }

    void later(framework::Milliseconds delay, std::function<void()> callback)
    {
        m_timers.push_back(m_scheduler.callAfter(delay, std::move(callback)));
    }

    framework::IScheduler &m_scheduler;
    bool m_checksFencing;
    framework::Milliseconds m_delay;
    bool m_answerLost = false;
    framework::FencingNumber m_highest;
    std::vector<ReceivedOrder> m_applied;
    std::vector<std::unique_ptr<framework::ITimer>> m_timers;
};

} // namespace lavendertally::orders
