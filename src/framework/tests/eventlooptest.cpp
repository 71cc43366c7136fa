#include "framework/frameworkmodule.h"
#include "framework/ieventloop.h"
#include "framework/itimer.h"

#include <event2/event.h>
#include <gtest/gtest.h>

#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <string>

using namespace lavendertally;
using namespace lavendertally::framework;

namespace {

using Clock = std::chrono::steady_clock;

/// Longer than the delay of the timer under test by more than the loop takes for late.
constexpr std::chrono::milliseconds PauseLength{150};
constexpr Milliseconds TimerDelay{40};

int inputOfPause = -1;

/// Stands for a pause of the process while the loop waits: input arrives and a timer becomes
/// overdue, and then the wait is interrupted without an event.
void pauseProcess(int /*signal*/)
{
    [[maybe_unused]] const auto written = write(inputOfPause, "x", 1);
    const Clock::time_point end = Clock::now() + PauseLength;
    while (Clock::now() < end) { }
}

} // namespace

class EventLoopTest : public testing::Test
{
protected:
    EventLoopTest() : m_loop(FrameworkModule::makeEventLoop())
    {
        socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, m_sockets.data());
        m_readable = event_new(m_loop->base(), m_sockets[0], EV_READ, &EventLoopTest::read, this);
        event_add(m_readable, nullptr);
    }
    ~EventLoopTest() override
    {
        event_free(m_readable);
        close(m_sockets[0]);
        close(m_sockets[1]);
    }

    static void read(int /*fd*/, short /*flags*/, void *self)
    {
        static_cast<EventLoopTest *>(self)->m_order += "input ";
    }

    std::unique_ptr<IEventLoop> m_loop;
    std::array<int, 2> m_sockets{};
    event *m_readable = nullptr;
    std::string m_order;
};

TEST_F(EventLoopTest, ProcessPausedWhileInputArrives_InputIsHandledBeforeLateTimer)
{
    inputOfPause = m_sockets[1];
    struct sigaction action
    { };
    struct sigaction previous
    { };
    action.sa_handler = &pauseProcess;
    sigaction(SIGALRM, &action, &previous);
    const auto timer = m_loop->callAfter(TimerDelay, [this] {
        m_order += "timer ";
        m_loop->stop();
    });
    itimerval alarm{};
    constexpr int AlarmMicroseconds = 10000;
    alarm.it_value.tv_usec = AlarmMicroseconds;
    setitimer(ITIMER_REAL, &alarm, nullptr);
    m_loop->run();
    sigaction(SIGALRM, &previous, nullptr);
    EXPECT_EQ(m_order, "input timer ");
}

TEST_F(EventLoopTest, TimersDueInTurn_RunInTurn)
{
    const auto second = m_loop->callAfter(Milliseconds(20), [this] {
        m_order += "second ";
        m_loop->stop();
    });
    const auto first = m_loop->callAfter(Milliseconds(5), [this] { m_order += "first "; });
    m_loop->run();
    EXPECT_EQ(m_order, "first second ");
}
