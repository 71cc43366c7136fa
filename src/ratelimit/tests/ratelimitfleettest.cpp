#include "ratelimit/tests/ratelimitfleet.h"

using namespace lavendertally;
using namespace lavendertally::ratelimit;

/// Number of daemons, and requests per second that the backend server names.
struct FleetCase
{
    std::size_t daemons;
    double perSecond;
};

class RateLimitFleetTest : public RateLimitFleet, public testing::WithParamInterface<FleetCase>
{
protected:
    framework::TimePoint playNamed(std::int64_t milliseconds)
    {
        addDaemons(GetParam().daemons);
        name(GetParam().perSecond);
        play(3000, 1);
        const framework::TimePoint start = m_clock.now();
        play(milliseconds, 2);
        return start;
    }
};

INSTANTIATE_TEST_SUITE_P(Fleets, RateLimitFleetTest,
                         testing::Values(FleetCase{1, 1.4}, FleetCase{5, 1.4}, FleetCase{5, 2.2},
                                         FleetCase{10, 1.0}, FleetCase{27, 0.3},
                                         FleetCase{27, 40.0}, FleetCase{103, 2.0}),
                         [](const testing::TestParamInfo<FleetCase> &info) {
                             const auto rate = static_cast<int>(info.param.perSecond * 1000.0);
                             return std::to_string(info.param.daemons) + "Daemons"
                                 + std::to_string(rate) + "PerThousandSeconds";
                         });

TEST_P(RateLimitFleetTest, ServerNamesLimit_SumOfAllDaemonsStaysWithinItAndUsesIt)
{
    const framework::TimePoint start = playNamed(12000);
    EXPECT_LE(mostInFourSeconds(start), tolerated(GetParam().perSecond));
    EXPECT_GE(static_cast<double>(arrivalsSince(start)), 0.8 * 12.0 * GetParam().perSecond);
}

TEST_P(RateLimitFleetTest, IssuerFreezes_SumStaysWithinLimit)
{
    const framework::TimePoint start = playNamed(4000);
    Daemon &issuer = *m_daemons.front();
    issuer.isFrozen = true;
    for (const auto &daemon : m_daemons) {
        daemon->network.links.erase(issuer.id);
        daemon->network.unreachable.insert(issuer.id);
    }
    play(8000, 2);
    EXPECT_LE(mostInFourSeconds(start), tolerated(GetParam().perSecond));
    issuer.isFrozen = false;
    for (const auto &daemon : m_daemons) {
        daemon->network.links[issuer.id] = &issuer.network;
        daemon->network.unreachable.clear();
    }
    play(8000, 2);
    EXPECT_LE(mostInFourSeconds(start), tolerated(GetParam().perSecond));
}

TEST_P(RateLimitFleetTest, DaemonsDisagreeWhoIsFirst_SumStaysWithinLimit)
{
    const framework::TimePoint start = playNamed(4000);
    for (std::size_t index = 0; index < m_daemons.size(); index += 2) {
        setRanking(*m_daemons[index], std::min<std::size_t>(1, m_daemons.size() - 1));
    }
    play(500, 2);
    for (const auto &daemon : m_daemons) {
        setRanking(*daemon, std::min<std::size_t>(1, m_daemons.size() - 1));
    }
    play(6000, 2);
    EXPECT_LE(mostInFourSeconds(start), tolerated(GetParam().perSecond));
}

TEST_P(RateLimitFleetTest, ServerLowersItsLimit_SumStaysWithinNewLimit)
{
    playNamed(4000);
    name(GetParam().perSecond / 2.0);
    play(4000, 2);
    const framework::TimePoint start = m_clock.now();
    play(8000, 2);
    EXPECT_LE(mostInFourSeconds(start), tolerated(GetParam().perSecond / 2.0));
}

class RateLimitNewsTest : public RateLimitFleet
{ };

TEST_F(RateLimitNewsTest, OneDaemonIsTold_AllKnowTheLimit)
{
    addDaemons(6);
    name(2.0);
    EXPECT_TRUE(tryToSend(*m_daemons[4]));
    m_scheduler.advance(framework::Milliseconds(200));
    for (const auto &daemon : m_daemons) {
        EXPECT_EQ(daemon->limits->rateOf(Server), framework::RequestRate(2000));
    }
}

TEST_F(RateLimitNewsTest, LimitEnds_DaemonThatSendsNothingLearnsIt)
{
    addDaemons(6);
    name(2.0);
    tryToSend(*m_daemons[4]);
    m_scheduler.advance(framework::Milliseconds(1000));
    m_named.reset();
    Daemon &user = *m_daemons[1];
    while (!tryToSend(user)) {
        m_scheduler.advance(framework::Milliseconds(50));
    }
    m_scheduler.advance(framework::Milliseconds(200));
    for (const auto &daemon : m_daemons) {
        EXPECT_EQ(daemon->limits->rateOf(Server), std::nullopt);
        EXPECT_TRUE(daemon->limits->mayCall(Server, m_clock.now()));
    }
}

TEST_F(RateLimitNewsTest, DaemonRestarts_LearnsLimitFromIssuer)
{
    addDaemons(4);
    name(2.0);
    tryToSend(*m_daemons[2]);
    m_scheduler.advance(framework::Milliseconds(200));
    addDaemons(1);
    Daemon &started = *m_daemons.back();
    started.exchange->onDigests(m_daemons.front()->id, {}, m_clock.now());
    EXPECT_EQ(started.limits->rateOf(Server), framework::RequestRate(2000));
}

TEST_F(RateLimitNewsTest, NoIssuerReachable_DaemonKeepsToItsShare)
{
    addDaemons(4);
    Daemon &lone = *m_daemons.back();
    for (const auto &other : m_daemons) {
        lone.network.unreachable.insert(other->id);
        lone.network.links.erase(other->id);
        other->isFrozen = true;
    }
    lone.isFrozen = false;
    name(4.0);
    play(20000, 1);
    EXPECT_GE(m_sentBy[lone.id], 15U);
    EXPECT_LE(m_sentBy[lone.id], 25U);
}

TEST_F(RateLimitNewsTest, AnswerToEarlierRequestNamesNone_LimitStays)
{
    addDaemons(1);
    IServerRateLimits &limits = *m_daemons.front()->limits;
    const framework::TimePoint sent = m_clock.now();
    limits.observeAnswer(Server, framework::RequestRate(1000), sent,
                         sent + framework::Milliseconds(100));
    limits.observeAnswer(Server, std::nullopt, sent, sent + framework::Milliseconds(200));
    EXPECT_TRUE(limits.rateOf(Server).has_value());
    limits.observeAnswer(Server, std::nullopt, sent + framework::Milliseconds(150),
                         sent + framework::Milliseconds(300));
    EXPECT_FALSE(limits.rateOf(Server).has_value());
}

TEST_F(RateLimitNewsTest, ManyServersNameLimits_MemoryStaysBoundedAndIsLetGo)
{
    addDaemons(1);
    IServerRateLimits &limits = *m_daemons.front()->limits;
    for (int server = 0; server < 3000; ++server) {
        limits.observeAnswer(framework::BackendServerId(std::to_string(server)),
                             framework::RequestRate(1000), m_clock.now(), m_clock.now());
    }
    EXPECT_LE(limits.store().limits(m_clock.now()).size(), RateLimitLimits().maxServers);
    m_scheduler.advance(framework::Milliseconds(120000));
    EXPECT_FALSE(limits.store().expire(m_clock.now()));
}
