#include "framework/frameworkmodule.h"
#include "framework/irandom.h"
#include "membership/types/backendserverentry.h"
#include "rollout/internal/servicetraffic.h"

#include <gtest/gtest.h>

using namespace lavendertally;
using namespace lavendertally::rollout;

namespace {

/// Gateways of which each sees the step at a time of its own, or never, and some of which restart.
class ExposureTest : public testing::TestWithParam<std::size_t>
{
protected:
    ExposureTest() : m_random(framework::FrameworkModule::makeRandom(5))
    {
        m_bounds.exposureShare = 0.1;
        m_bounds.exposureSlack = 50;
        m_old.id = framework::BackendServerId("old");
        m_old.version = framework::SoftwareVersion("v1");
        m_new.id = framework::BackendServerId("new");
        m_new.version = framework::SoftwareVersion("v2");
        for (std::size_t each = 0; each < GetParam(); ++each) {
            m_gateways.push_back(start());
        }
    }

    std::unique_ptr<ServiceTraffic> start()
    {
        auto gateway =
            std::make_unique<ServiceTraffic>(framework::ServiceId("s"), m_bounds, ++m_starts);
        gateway->setServers({&m_old, &m_new});
        gateway->setOrder({framework::ServiceId("s"),
                           framework::SoftwareVersion("v2"),
                           framework::Milliseconds(12000),
                           {}},
                          framework::TimePoint(0));
        gateway->tick(GetParam(), framework::TimePoint(0));
        return gateway;
    }
    void send(ServiceTraffic &gateway)
    {
        const auto &server = gateway.isPreferred(m_new) ? m_new : m_old;
        gateway.callStarted(server);
        gateway.callEnded(server.id);
        ++m_sent;
        m_toTarget += server.version == m_new.version ? 1 : 0;
    }

    RolloutBounds m_bounds;
    membership::BackendServerEntry m_old;
    membership::BackendServerEntry m_new;
    std::unique_ptr<framework::IRandom> m_random;
    std::vector<std::unique_ptr<ServiceTraffic>> m_gateways;
    std::uint64_t m_starts = 0;
    std::size_t m_sent = 0;
    std::size_t m_toTarget = 0;
};

} // namespace

INSTANTIATE_TEST_SUITE_P(Rollout, ExposureTest, testing::Values(1, 3, 26, 104, 320),
                         testing::PrintToStringParamName());

// Guards against shares of many gateways that add up to more than all of them may have, also where
// each sends a handful of requests.
TEST_P(ExposureTest, GatewaysAreCutOffFrozenAndRestarted_SumStaysWithinItsShare)
{
    constexpr std::int64_t Rounds = 120;
    const std::size_t perRound = std::max<std::size_t>(GetParam() / 10, 2);
    for (std::int64_t round = 0; round < Rounds; ++round) {
        const framework::TimePoint now(round * 100);
        for (auto &gateway : m_gateways) {
            const std::uint64_t event = m_random->below(200);
            if (event == 0) {
                gateway = start();
            } else if (event < 20) {
                gateway->raise(protocol::RolloutStep::Canary);
            } else if (event < 22 && round > Rounds / 2) {
                gateway->raise(protocol::RolloutStep::FullLoad);
            }
            if (event < 190) {
                gateway->tick(GetParam(), now);
            }
        }
        for (std::size_t each = 0; each < perRound; ++each) {
            send(*m_gateways[m_random->below(m_gateways.size())]);
        }
        EXPECT_LE(static_cast<double>(m_toTarget),
                  m_bounds.exposureShare * static_cast<double>(m_sent) + m_bounds.exposureSlack)
            << "round " << round;
    }
    EXPECT_GT(m_toTarget, 0U);
    EXPECT_LE(static_cast<double>(m_toTarget),
              0.55 * m_bounds.exposureShare * static_cast<double>(m_sent)
                  + 0.9 * m_bounds.exposureSlack);
}
