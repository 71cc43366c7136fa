#pragma once

#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "framework/testing/fakeclock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace lavendertally::framework {

/// Scheduler on a FakeClock: callbacks run from advance(), in order of time.
class FakeScheduler final : public IScheduler
{
public:
    explicit FakeScheduler(FakeClock &clock) : m_clock(clock) { }

    std::unique_ptr<ITimer> callAfter(Milliseconds delay, std::function<void()> callback) override
    {
        const Key key{m_clock.now() + delay, m_nextSequence++};
        m_pending->emplace(key, std::move(callback));
        return std::make_unique<Handle>(m_pending, key);
    }

    /// Advances the clock and runs what falls due on the way.
    void advance(Milliseconds step)
    {
        const TimePoint end = m_clock.now() + step;
        while (!m_pending->empty() && m_pending->begin()->first.first <= end) {
            auto node = m_pending->extract(m_pending->begin());
            if (node.key().first > m_clock.now()) {
                m_clock.set(node.key().first);
            }
            node.mapped()();
        }
        m_clock.set(end);
    }

private:
    using Key = std::pair<TimePoint, std::uint64_t>;
    using Pending = std::map<Key, std::function<void()>>;

    class Handle final : public ITimer
    {
    public:
        Handle(std::weak_ptr<Pending> pending, Key key) : m_pending(std::move(pending)), m_key(key)
        { }
        ~Handle() override
        {
            if (const auto pending = m_pending.lock()) {
                pending->erase(m_key);
            }
        }
        Handle(const Handle &) = delete;
        Handle &operator=(const Handle &) = delete;

    private:
        std::weak_ptr<Pending> m_pending;
        Key m_key;
    };

    FakeClock &m_clock;
    std::uint64_t m_nextSequence = 0;
    std::shared_ptr<Pending> m_pending = std::make_shared<Pending>();
};

} // namespace lavendertally::framework
