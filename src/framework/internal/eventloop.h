#pragma once

#include "framework/ieventloop.h"

#include <memory>

namespace lavendertally::framework {

/// Event loop on libevent.
class EventLoop final : public IEventLoop
{
public:
    EventLoop();
    ~EventLoop() override;
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    std::unique_ptr<ITimer> callAfter(Milliseconds delay, std::function<void()> callback) override;
    std::unique_ptr<ITimer> onSignal(int signal, std::function<void()> callback) override;
    void run() override;
    void stop() override;
    event_base *base() override { return m_base; }

private:
    event_base *m_base;
};

} // namespace lavendertally::framework
