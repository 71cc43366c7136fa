#include "routing/internal/serverspeed.h"

#include <gtest/gtest.h>

#include <random>

using namespace lavendertally;
using namespace lavendertally::routing;

namespace {

constexpr framework::TimePoint Start(100000);

/// \return share of the moments at which a server counts as different from the others, if its calls
/// take exponentially distributed times with \p mean times the mean of the others
double shareOfDifferent(double mean)
{
    constexpr int Servers = 200;
    constexpr int Calls = 200;
    // Of an exponentially distributed time with mean one; the service learns geometric means.
    constexpr double GeometricMean = 0.5615;
    std::mt19937_64 engine(3);
    std::exponential_distribution<double> time(1.0 / mean);
    int different = 0;
    for (int server = 0; server < Servers; ++server) {
        ServerSpeed speed;
        for (int call = 0; call < Calls; ++call) {
            speed.observeCall(time(engine) / GeometricMean, Start);
            different += speed.callTime(Start) != 1.0 ? 1 : 0;
        }
    }
    return static_cast<double>(different) / (Servers * Calls);
}

} // namespace

/// Calls of plain services vary in length by chance; equal servers must be used as before.
TEST(ServerSpeedTest, EqualServersWithVariableCalls_CountAsEqual)
{
    EXPECT_LT(shareOfDifferent(1.0), 0.05);
}

/// A difference that chance does not explain must not be missed either.
TEST(ServerSpeedTest, ServerTakesThreeTimesAsLong_CountsAsDifferent)
{
    EXPECT_GT(shareOfDifferent(3.0), 0.5);
}

/// The fourth figure changes many times a second; an old one says nothing.
TEST(ServerSpeedTest, ReportedSlowness_IsForgottenWithinASecond)
{
    ServerSpeed speed;
    speed.observeReport(250, Start);
    EXPECT_GT(speed.readTime(Start), 2.0);
    EXPECT_LT(speed.readTime(Start + framework::Milliseconds(2000)), 1.2);
}
