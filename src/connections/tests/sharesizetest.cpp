#include "connections/sharesize.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <vector>

using namespace lavendertally;
using namespace lavendertally::connections;

namespace {

constexpr std::array<std::uint32_t, 9> Caps{1, 2, 5, 20, 26, 72, 78, 320, 330};
constexpr std::size_t MaxGateways = 400;
constexpr std::size_t ServerCount = 4;

std::uint32_t sum(const ServerCap &cap, std::size_t gateways)
{
    std::uint32_t total = 0;
    for (std::size_t position = 0; position < gateways; ++position) {
        total +=
            shareSize(cap, {gateways, position}, false) + lendableSize(cap, {gateways, position});
    }
    return total;
}

} // namespace

/// Guards against rounding that lends more than the server accepts.
TEST(ShareSizeTest, SumOfAllPartsStaysWithinCap)
{
    for (const std::uint32_t connections : Caps) {
        for (std::size_t gateways = 1; gateways <= MaxGateways; ++gateways) {
            for (std::size_t index = 0; index < ServerCount; ++index) {
                const ServerCap cap{connections, index};
                ASSERT_LE(sum(cap, gateways), connections)
                    << gateways << " gateways, server " << index;
            }
        }
    }
}

/// Guards against an excess while gateways that have just started are not known to the others yet.
TEST(ShareSizeTest, AnEighthMoreGatewaysJoinUnknownToOthers_SumStaysWithinCap)
{
    for (const std::uint32_t connections : Caps) {
        for (std::size_t gateways = 1; gateways <= MaxGateways; ++gateways) {
            const std::size_t joining = std::max<std::size_t>(gateways / 8, 1);
            const std::size_t all = gateways + joining;
            if (all > connections) {
                continue;
            }
            const ServerCap cap{connections, 0};
            std::uint32_t total = sum(cap, gateways);
            for (std::size_t position = gateways; position < all; ++position) {
                total += shareSize(cap, {all, position}, true);
            }
            ASSERT_LE(total, connections) << gateways << " gateways";
        }
    }
}

/// Guards against a gateway that can reach no server of a service while others have connections.
TEST(ShareSizeTest, MoreGatewaysThanConnections_EachHasAServer)
{
    constexpr std::uint32_t Connections = 20;
    constexpr std::size_t Gateways = 32;
    constexpr std::size_t Servers = 3;
    for (std::size_t position = 0; position < Gateways; ++position) {
        std::uint32_t total = 0;
        for (std::size_t index = 0; index < Servers; ++index) {
            total += shareSize({Connections, index}, {Gateways, position}, false);
        }
        EXPECT_GE(total, 1U) << "position " << position;
    }
}

/// Guards against shares that starve gateways in front of a plain service.
TEST(ShareSizeTest, DeploymentSizes_PartsSufficeForTheirUse)
{
    constexpr std::size_t Gateways = 32;
    EXPECT_EQ(shareSize({78, 0}, {Gateways, 20}, false), 2U);
    EXPECT_GE(shareSize({320, 0}, {Gateways, 20}, false), 8U);
}

/// Guards against a fleet that starts at once, where each gateway sees few others at first.
TEST(ShareSizeTest, GatewayHasJustStarted_AssumesALargeFleet)
{
    const ServerCap cap{78, 0};
    EXPECT_EQ(shareSize(cap, {}, true), shareSize(cap, {AssumedGateways, 0}, false));
    EXPECT_EQ(shareSize(cap, {2, 0}, true), shareSize(cap, {AssumedGateways, 0}, false));
    EXPECT_GT(shareSize(cap, {2, 0}, false), shareSize(cap, {2, 0}, true));
}
