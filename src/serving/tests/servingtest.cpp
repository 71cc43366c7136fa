#include "framework/testing/nulllogger.h"
#include "serving/iservingtracker.h"
#include "serving/servingmodule.h"
#include "serving/types/servingconfiguration.h"

#include <gtest/gtest.h>

using namespace lavendertally;
using namespace lavendertally::serving;

namespace {

Route route(const char *id, const char *host, const char *prefix)
{
    Route result;
    result.id = framework::RouteId(id);
    result.hostName = host;
    result.prefix = prefix;
    result.split = {{framework::ServiceId("s"), 1}};
    return result;
}

std::shared_ptr<const ServingConfiguration> version(std::uint64_t number)
{
    return std::make_shared<ServingConfiguration>(framework::ConfigurationVersion(number),
                                                  std::vector<Route>{}, std::vector<ServiceSpec>{},
                                                  RequestLimits{}, std::nullopt);
}

} // namespace

TEST(ServingConfigurationTest, SeveralPrefixesMatch_RouteWithLongestPrefixOfHostIsFound)
{
    const ServingConfiguration configuration(
        framework::ConfigurationVersion(1),
        {route("short", "h", "/a/"), route("long", "h", "/a/b/"), route("other", "i", "/a/b/c/")},
        {}, {}, std::nullopt);
    ASSERT_NE(configuration.findRoute("h", "/a/b/c/d"), nullptr);
    EXPECT_EQ(configuration.findRoute("h", "/a/b/c/d")->id.value(), "long");
    EXPECT_EQ(configuration.findRoute("h", "/a/x")->id.value(), "short");
    EXPECT_EQ(configuration.findRoute("h", "/b/"), nullptr);
    EXPECT_EQ(configuration.findRoute("h", "/a"), nullptr);
    EXPECT_EQ(configuration.findRoute("j", "/a/b/"), nullptr);
}

TEST(ServingConfigurationTest, TeamHasSeveralKeys_EachKeyFindsTeam)
{
    TeamEntry team;
    team.id = framework::TeamId("members");
    team.keys = {framework::ApiKey("k1"), framework::ApiKey("k2")};
    const ServingConfiguration configuration(framework::ConfigurationVersion(1), {}, {}, {},
                                             std::vector<TeamEntry>{team});
    EXPECT_TRUE(configuration.requiresKeys());
    EXPECT_EQ(configuration.findTeam(framework::ApiKey("k2"))->id.value(), "members");
    EXPECT_EQ(configuration.findTeam(framework::ApiKey("k3")), nullptr);
}

TEST(ServingTrackerTest, OlderOrSameVersionArrives_IsIgnored)
{
    framework::NullLogger logger;
    const auto tracker = ServingModule::makeTracker(logger);
    int changes = 0;
    tracker->onChange([&changes] { ++changes; });
    tracker->applyConfiguration(version(5));
    tracker->applyConfiguration(version(3));
    tracker->applyConfiguration(version(5));
    EXPECT_EQ(tracker->configuration()->version().value(), 5U);
    EXPECT_EQ(changes, 1);
    tracker->applyConfiguration(version(9));
    EXPECT_EQ(tracker->configuration()->version().value(), 9U);
    EXPECT_EQ(changes, 2);
}

TEST(ServingTrackerTest, ConfirmedBeforeFirstVersionOrOutOfOrder_IsIgnored)
{
    framework::NullLogger logger;
    const auto tracker = ServingModule::makeTracker(logger);
    tracker->confirm(framework::TimePoint(100));
    EXPECT_EQ(tracker->confirmedAt(), framework::TimePoint());
    tracker->applyConfiguration(version(1));
    tracker->confirm(framework::TimePoint(200));
    tracker->confirm(framework::TimePoint(150));
    EXPECT_EQ(tracker->confirmedAt(), framework::TimePoint(200));
}

/// Guards against keys that stay in use because the version that takes them away cannot be used.
TEST(ServingTrackerTest, NewerVersionIsRejected_ActiveOneIsNotConfirmedUntilANewerOneIsActive)
{
    framework::NullLogger logger;
    const auto tracker = ServingModule::makeTracker(logger);
    tracker->applyConfiguration(version(5));
    tracker->confirm(framework::TimePoint(100));
    tracker->rejectConfiguration(framework::ConfigurationVersion(7));
    tracker->confirm(framework::TimePoint(200));
    EXPECT_EQ(tracker->confirmedAt(), framework::TimePoint(100));
    EXPECT_EQ(tracker->configuration()->version().value(), 5U);
    tracker->applyConfiguration(version(6));
    tracker->confirm(framework::TimePoint(300));
    EXPECT_TRUE(tracker->isNewestRejected()) << "it is older than the one rejected";
    EXPECT_EQ(tracker->confirmedAt(), framework::TimePoint(100));
    tracker->applyConfiguration(version(8));
    tracker->confirm(framework::TimePoint(400));
    EXPECT_EQ(tracker->confirmedAt(), framework::TimePoint(400));
    tracker->rejectConfiguration(framework::ConfigurationVersion(7));
    EXPECT_FALSE(tracker->isNewestRejected()) << "it is older than the active one";
}

TEST(ServingTrackerTest, RejectedVersionHasNoNumber_AnyNewerOneEndsIt)
{
    framework::NullLogger logger;
    const auto tracker = ServingModule::makeTracker(logger);
    tracker->applyConfiguration(version(5));
    tracker->rejectConfiguration(std::nullopt);
    tracker->applyConfiguration(version(5));
    EXPECT_TRUE(tracker->isNewestRejected());
    tracker->applyConfiguration(version(6));
    EXPECT_FALSE(tracker->isNewestRejected());
}
