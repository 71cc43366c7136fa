#include "framework/internal/eventloop.h"

#include "framework/internal/eventtimer.h"

#include <event2/event.h>

#include <csignal>
#include <utility>

namespace lavendertally::framework {

EventLoop::EventLoop() : m_base(event_base_new())
{
    // A write to a connection that the peer has closed is an error of that write, not a reason to
    // end the process.
    std::signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop()
{
    event_base_free(m_base);
}

std::unique_ptr<ITimer> EventLoop::callAfter(Milliseconds delay, std::function<void()> callback)
{
    auto timer = std::make_unique<EventTimer>(m_base, -1, 0, std::move(callback));
    timer->add(delay);
    return timer;
}

std::unique_ptr<ITimer> EventLoop::onSignal(int signal, std::function<void()> callback)
{
    auto handler =
        std::make_unique<EventTimer>(m_base, signal, EV_SIGNAL | EV_PERSIST, std::move(callback));
    handler->add();
    return handler;
}

void EventLoop::run()
{
    event_base_loop(m_base, EVLOOP_NO_EXIT_ON_EMPTY);
}

void EventLoop::stop()
{
    event_base_loopbreak(m_base);
}

} // namespace lavendertally::framework
