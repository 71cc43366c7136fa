#pragma once

#include "framework/ischeduler.h"
#include "framework/itimer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace lavendertally::control {

/// Scheduler of one process of a test that can be paused. Callbacks that fall due while it is
/// paused run on resume(). Destroying it models a crash: its pending callbacks never run.
class PausableScheduler final : public framework::IScheduler
{
public:
    explicit PausableScheduler(framework::IScheduler &scheduler) : m_scheduler(scheduler) { }

    std::unique_ptr<framework::ITimer> callAfter(framework::Milliseconds delay,
                                                 std::function<void()> callback) override
    {
        const std::uint64_t id = ++m_lastId;
        (*m_calls)[id].callback = std::move(callback);
        (*m_calls)[id].timer = m_scheduler.callAfter(delay, [this, id] { runOrDefer(id); });
        return std::make_unique<Handle>(m_calls, id);
    }

    void pause() { m_paused = true; }
    void resume()
    {
        m_paused = false;
        for (const std::uint64_t id : std::exchange(m_deferred, {})) {
            runOrDefer(id);
        }
    }
    bool isPaused() const { return m_paused; }

private:
    struct Call
    {
        std::function<void()> callback;
        std::unique_ptr<framework::ITimer> timer;
    };
    using Calls = std::map<std::uint64_t, Call>;

    class Handle final : public framework::ITimer
    {
    public:
        Handle(std::weak_ptr<Calls> calls, std::uint64_t id) : m_calls(std::move(calls)), m_id(id)
        { }
        ~Handle() override
        {
            if (const auto calls = m_calls.lock()) {
                calls->erase(m_id);
            }
        }
        Handle(const Handle &) = delete;
        Handle &operator=(const Handle &) = delete;

    private:
        std::weak_ptr<Calls> m_calls;
        std::uint64_t m_id;
    };

    void runOrDefer(std::uint64_t id)
    {
        if (m_paused) {
            m_deferred.push_back(id);
            return;
        }
        auto node = m_calls->extract(id);
        if (node) {
            node.mapped().callback();
        }
    }

    framework::IScheduler &m_scheduler;
    bool m_paused = false;
    std::uint64_t m_lastId = 0;
    std::vector<std::uint64_t> m_deferred;
    std::shared_ptr<Calls> m_calls = std::make_shared<Calls>();
};

} // namespace lavendertally::control
