#include "framework/testing/fakeclock.h"
#include "framework/testing/fakescheduler.h"
#include "infrastructure/testing/fakelogservice.h"

#include <gtest/gtest.h>

using namespace lavendertally;
using namespace lavendertally::infrastructure;

namespace {

constexpr framework::Milliseconds Timeout{1000};
constexpr framework::Milliseconds NoWait{0};
const StreamName Stream{"stream"};

} // namespace

class FakeLogTest : public testing::Test
{
protected:
    framework::FakeClock m_clock;
    framework::FakeScheduler m_scheduler{m_clock};
    FakeLog m_log;
    FakeLogService m_service{m_scheduler, m_log};
};

TEST_F(FakeLogTest, FrozenAppendTakesEffectAfterItsCallerGaveUp)
{
    std::optional<InfrastructureError> error;
    m_service.freeze();
    m_service.append(Stream, {"a"}, Timeout, [&](framework::Result<framework::LogOffset> result) {
        error = framework::errorOf(std::move(result), InfrastructureError::Unavailable);
    });
    m_scheduler.advance(Timeout);
    EXPECT_EQ(error, InfrastructureError::AnswerLost);
    EXPECT_TRUE(m_log.records(Stream).empty());
    m_service.thaw();
    EXPECT_EQ(m_log.records(Stream), std::vector<std::string>{"a"});
}

TEST_F(FakeLogTest, WaitingReaderHearsAnAppendOfAnotherProcess)
{
    FakeLogService other(m_scheduler, m_log);
    std::size_t records = 0;
    m_service.read(Stream, framework::LogOffset(0), 10, Timeout, Timeout * 2,
                   [&](const framework::Result<LogPage> &page) { records = page->records.size(); });
    m_scheduler.advance(framework::Milliseconds(10));
    other.append(Stream, {"a", "b"}, Timeout, [](const auto & /*result*/) {});
    m_scheduler.advance(framework::Milliseconds(1));
    EXPECT_EQ(records, 2U);
}

TEST_F(FakeLogTest, NoCallbackRunsAfterTheServiceIsGone)
{
    bool called = false;
    auto service = std::make_unique<FakeLogService>(m_scheduler, m_log);
    service->append(Stream, {"a"}, Timeout, [&](const auto & /*result*/) { called = true; });
    service->read(Stream, framework::LogOffset(0), 1, NoWait, Timeout,
                  [&](const auto & /*page*/) { called = true; });
    service.reset();
    m_scheduler.advance(Timeout * 2);
    EXPECT_FALSE(called);
}

TEST_F(FakeLogTest, ReorderedAppendIsOvertakenByTheNext)
{
    m_service.failAppends(FakeLogFault::Reordered);
    m_service.append(Stream, {"a"}, Timeout, [](const auto & /*result*/) {});
    m_service.append(Stream, {"b"}, Timeout, [](const auto & /*result*/) {});
    m_scheduler.advance(framework::Milliseconds(1));
    EXPECT_EQ(m_log.records(Stream), (std::vector<std::string>{"b", "a"}));
}
