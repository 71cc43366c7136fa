#pragma once

#include "framework/testing/fakeclock.h"
#include "framework/testing/fakescheduler.h"
#include "infrastructure/testing/fakelogservice.h"
#include "infrastructure/tests/logharness.h"

namespace lavendertally::infrastructure {

class FakeLogHarness final : public LogHarness
{
public:
    ILogService &service() override { return *m_service; }
    void drop() override { m_service.reset(); }
    void expireUpTo(const StreamName &stream, framework::LogOffset first) override
    {
        m_log.expireUpTo(stream, first);
    }
    std::vector<std::string> records(const StreamName &stream) const override
    {
        return m_log.records(stream);
    }

    void setTrouble(LogTrouble trouble) override
    {
        m_service->thaw();
        m_service->setDown(trouble == LogTrouble::Down);
        m_service->setLagging(trouble == LogTrouble::Lagging);
        m_service->setDelays(framework::Milliseconds(trouble == LogTrouble::Slow ? 20 : 0),
                             framework::Milliseconds(0));
        if (trouble == LogTrouble::Frozen) {
            m_service->freeze();
        }
        m_service->failAppends(appendFault(trouble), 1);
        if (trouble == LogTrouble::LostAnswer) {
            m_service->failReads(InfrastructureError::Unavailable);
        } else if (trouble == LogTrouble::Doubled || trouble == LogTrouble::Reordered
                   || trouble == LogTrouble::Truncated) {
            m_service->failReads(InfrastructureError::MalformedAnswer);
        }
    }

    void run() override
    {
        constexpr int Steps = 500;
        m_stopped = false;
        for (int i = 0; i < Steps && !m_stopped; ++i) {
            m_scheduler.advance(framework::Milliseconds(1));
        }
    }
    void stop() override { m_stopped = true; }
    void settle() override { run(); }

private:
    static FakeLogFault appendFault(LogTrouble trouble)
    {
        switch (trouble) {
        case LogTrouble::LostAnswer:
            return FakeLogFault::AnswerLost;
        case LogTrouble::Doubled:
            return FakeLogFault::Doubled;
        case LogTrouble::Truncated:
            return FakeLogFault::MalformedAnswer;
        case LogTrouble::Reordered:
            return FakeLogFault::Reordered;
        case LogTrouble::RateLimited:
            return FakeLogFault::RateLimited;
        default:
            return FakeLogFault::None;
        }
    }

    framework::FakeClock m_clock;
    framework::FakeScheduler m_scheduler{m_clock};
    FakeLog m_log;
    std::unique_ptr<FakeLogService> m_service =
        std::make_unique<FakeLogService>(m_scheduler, m_log);
    bool m_stopped = false;
};

} // namespace lavendertally::infrastructure
