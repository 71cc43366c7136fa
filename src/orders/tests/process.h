#pragma once

#include "framework/iclock.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "framework/testing/fakeclock.h"
#include "framework/testing/fakescheduler.h"
#include "framework/testing/nulllogger.h"
#include "infrastructure/testing/fakelogservice.h"
#include "orders/iengineport.h"
#include "orders/internal/orderservice.h"
#include "orders/tests/fakeengine.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lavendertally::orders {

/// Process that gives orders and can be frozen: what reaches it waits until it wakes, what it has
/// sent goes on. Its clock may run slower than that of the test.
class Process final : public framework::IScheduler,
                      public framework::IClock,
                      public infrastructure::ILogService,
                      public IEnginePort
{
public:
    Process(const std::string &name, const OrderPolicy &policy, framework::FakeClock &clock,
            framework::FakeScheduler &scheduler, infrastructure::FakeLog &log, FakeEngine &engine)
        : m_name(name), m_clock(clock), m_scheduler(scheduler), m_engine(engine),
          m_log(scheduler, log),
          m_service(std::make_unique<OrderService>(framework::HostId("h1"), HolderId(name), policy,
                                                   *this, *this, *this, *this, m_logger))
    { }

    OrderService &service() { return *m_service; }
    infrastructure::FakeLogService &log() { return m_log; }
    const std::string &name() const { return m_name; }

    /// Rate of its clock in parts of a thousand.
    void setClockRate(std::int64_t permille) { m_clockPermille = permille; }
    /// Freezes it, at the latest before its next callback.
    void freeze() { m_frozen = true; }
    /// Freezes it at the moment when it has decided to send its next order.
    void freezeBeforeSending() { m_freezeBeforeSending = true; }
    void thaw()
    {
        m_frozen = false;
        for (const auto &call : std::exchange(m_held, {})) {
            call();
        }
    }

    std::unique_ptr<framework::ITimer> callAfter(framework::Milliseconds delay,
                                                 std::function<void()> callback) override
    {
        return m_scheduler.callAfter(delay, held(std::move(callback)));
    }
    framework::TimePoint now() const override
    {
        return framework::TimePoint(m_clock.now().sinceEpoch() * m_clockPermille / 1000);
    }
    framework::TimePoint wallNow() const override { return m_clock.wallNow(); }

    void append(const infrastructure::StreamName &stream, std::vector<std::string> records,
                framework::Milliseconds timeout,
                std::function<void(framework::Result<framework::LogOffset>)> callback) override
    {
        m_log.append(stream, std::move(records), timeout, heldResult(std::move(callback)));
    }
    void read(const infrastructure::StreamName &stream, framework::LogOffset from,
              std::uint32_t limit, framework::Milliseconds wait, framework::Milliseconds timeout,
              std::function<void(framework::Result<infrastructure::LogPage>)> callback) override
    {
        m_log.read(stream, from, limit, wait, timeout, heldResult(std::move(callback)));
    }
    void send(const EngineOrder &order, framework::FencingNumber fencing,
              framework::Milliseconds timeout,
              std::function<void(framework::Result<void>)> callback) override
    {
        const auto sending = [this, order, fencing, timeout, callback = heldResult(callback)] {
            m_engine.receive({m_name, fencing, order.argument}, timeout, callback);
        };
        if (std::exchange(m_freezeBeforeSending, false)) {
            freeze();
            m_held.emplace_back(sending);
            return;
        }
        sending();
    }

private:
    std::function<void()> held(std::function<void()> callback)
    {
        return [this, callback = std::move(callback)] {
            if (m_frozen) {
                m_held.push_back(callback);
                return;
            }
            callback();
        };
    }

    template <typename T>
    std::function<void(framework::Result<T>)>
    heldResult(std::function<void(framework::Result<T>)> callback)
    {
        return [this, callback = std::move(callback)](framework::Result<T> result) {
            if (m_frozen) {
                const auto kept = std::make_shared<framework::Result<T>>(std::move(result));
                m_held.push_back([callback, kept] { callback(std::move(*kept)); });
                return;
            }
            callback(std::move(result));
        };
    }

    std::string m_name;
    framework::FakeClock &m_clock;
    framework::FakeScheduler &m_scheduler;
    FakeEngine &m_engine;
    framework::NullLogger m_logger;
    std::int64_t m_clockPermille = 1000;
    bool m_frozen = false;
    bool m_freezeBeforeSending = false;
    std::vector<std::function<void()>> m_held;
    infrastructure::FakeLogService m_log;
    std::unique_ptr<OrderService> m_service;
};

} // namespace lavendertally::orders
