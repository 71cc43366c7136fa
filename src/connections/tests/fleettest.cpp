#include "connections/tests/connectionfleet.h"

using namespace lavendertally;
using namespace lavendertally::connections;

namespace {

constexpr framework::Milliseconds TwentySeconds{20000};
constexpr framework::Milliseconds Minute{60000};
/// Calls of a gateway in 10 s, and how long each takes: more than all shares can serve.
constexpr std::uint64_t Overload = 400;
constexpr framework::Milliseconds LongCall{200};

} // namespace

using ConnectionFleetTest = ConnectionFleet;

/// All shares are full.
class OverloadedFleetTest : public ConnectionFleet
{
protected:
    OverloadedFleetTest() { m_minCall = LongCall; }
};

/// The deployment that exceeded its cap: 32 gateways, 3 servers of 78 connections.
TEST_F(OverloadedFleetTest, AllGatewaysAreBusy_CapHoldsAndIsUsed)
{
    make(32, 3, 78, 1);
    play(TwentySeconds, Overload);
    EXPECT_GE(m_most, 64U);
}

/// Guards against refusals while all requests, 90 a second, arrive at one gateway.
TEST_F(ConnectionFleetTest, OneGatewayHasAllTheLoad_ItIsServed)
{
    make(32, 3, 78, 2);
    m_hot = 4;
    m_hotLoad = 900;
    play(Minute, 0);
    EXPECT_GT(m_gateways[4]->served, 5000U);
    EXPECT_EQ(m_gateways[4]->refused, 0U);
}

/// Guards against an excess when a gateway acts on what it knew before it stopped, was frozen or
/// cut off, and when leases outlast the gateway that lent them.
TEST_F(OverloadedFleetTest, GatewaysStopRestartFreezeAndAreCutOff_CapHolds)
{
    for (const std::uint64_t seed : {3}) {
        make(32, 3, 78, seed);
        for (int round = 0; round < 6 && !HasFatalFailure(); ++round) {
            // Leading gateways, which lend, are among them every other time.
            const std::size_t stopped = round % 2 == 0 ? round % 3 : pick();
            const std::size_t frozen = pick();
            const std::size_t cutOff = pick();
            stop(stopped);
            setFrozen(frozen, true);
            setCutOff(cutOff, true);
            play(framework::Milliseconds(static_cast<std::int64_t>(m_random->below(60000))),
                 Overload);
            setFrozen(frozen, false);
            restart(stopped);
            play(framework::Milliseconds(static_cast<std::int64_t>(m_random->below(15000))),
                 Overload);
            setCutOff(cutOff, false);
        }
    }
}

/// Guards against an excess in the time until all gateways know of new ones.
TEST_F(OverloadedFleetTest, GatewaysJoinWhileOneIsCutOff_CapHolds)
{
    make(26, 3, 78, 7);
    setCutOff(3, true);
    for (int count = 0; count < 3; ++count) {
        add();
        play(framework::Milliseconds(15000), Overload);
    }
}

TEST_F(OverloadedFleetTest, MoreGatewaysThanConnections_CapHoldsAndEachIsServed)
{
    make(32, 3, 20, 8);
    play(TwentySeconds, Overload);
    stop(10);
    play(Minute, Overload);
    restart(10);
    play(Minute, Overload);
    EXPECT_GE(m_most, 12U);
    for (const auto &gateway : m_gateways) {
        EXPECT_GT(gateway->served, 100U) << gateway->id.value();
    }
}

/// Guards against gateways that reach no server at all: 320 gateways, 234 connections, the load
/// that a plain service bears. Those without a share borrow what the others do not use.
TEST_F(ConnectionFleetTest, MoreGatewaysThanAllServersAccept_EachIsServedByLeases)
{
    make(320, 3, 78, 9);
    constexpr std::uint64_t NinetyPerSecond = 3;
    play(TwentySeconds, NinetyPerSecond);
    std::size_t served = 0;
    std::size_t refused = 0;
    for (const auto &gateway : m_gateways) {
        served += gateway->served;
        refused += gateway->refused;
    }
    EXPECT_GT(served, 1500U);
    EXPECT_LT(refused, served / 50) << refused << " refused, " << served << " served";
}
