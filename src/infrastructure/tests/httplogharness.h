#pragma once

#include "infrastructure/infrastructuremodule.h"
#include "infrastructure/tests/logharness.h"
#include "infrastructure/tests/standinfixture.h"
#include "standins/logstandin.h"

namespace lavendertally::infrastructure {

/// The HTTP client and, behind it, the stand-in.
class HttpLogHarness final : public LogHarness
{
public:
    HttpLogHarness() : m_standIn(*m_fixture.m_loop, standins::LogOptions{})
    {
        const auto endpoint = m_standIn.listen({"127.0.0.1", 0});
        m_service = InfrastructureModule::makeLogService(*m_fixture.m_client, endpoint.value());
    }

    ILogService &service() override { return *m_service; }
    void drop() override { m_service.reset(); }
    void expireUpTo(const StreamName &stream, framework::LogOffset first) override
    {
        m_standIn.expireUpTo(stream.value(), first);
    }
    std::vector<std::string> records(const StreamName &stream) const override
    {
        return m_standIn.records(stream.value());
    }
    void run() override { m_fixture.run(); }
    void stop() override { m_fixture.m_loop->stop(); }
    void settle() override
    {
        const auto end = m_fixture.m_loop->callAfter(framework::Milliseconds(300),
                                                     [this] { m_fixture.m_loop->stop(); });
        m_fixture.run();
    }

    void setTrouble(LogTrouble trouble) override
    {
        m_standIn.setAppendsPerSecond(trouble == LogTrouble::RateLimited ? 0 : 500);
        m_standIn.setFault({faultMode(trouble), framework::Milliseconds(20), std::nullopt, ""});
    }

private:
    static standins::FaultMode faultMode(LogTrouble trouble)
    {
        switch (trouble) {
        case LogTrouble::Down:
            return standins::FaultMode::Down;
        case LogTrouble::Slow:
            return standins::FaultMode::Slow;
        case LogTrouble::Frozen:
            return standins::FaultMode::Frozen;
        case LogTrouble::LostAnswer:
            return standins::FaultMode::LostAnswer;
        case LogTrouble::Doubled:
            return standins::FaultMode::Doubled;
        case LogTrouble::Reordered:
            return standins::FaultMode::Reordered;
        case LogTrouble::Lagging:
            return standins::FaultMode::Lagging;
        case LogTrouble::Truncated:
            return standins::FaultMode::Truncated;
        default:
            return standins::FaultMode::None;
        }
    }

    StandInFixture m_fixture;
    standins::LogStandIn m_standIn;
    std::unique_ptr<ILogService> m_service;
};

} // namespace lavendertally::infrastructure
