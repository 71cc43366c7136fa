#include "configurationcheck/configurationcheck.h"
#include "configurationcheck/keyhash.h"
#include "configurationcheck/tests/draftfixture.h"
#include "configurationcheck/tests/plainnames.h"
#include "configurationcheck/types/comparedconfiguration.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

using namespace lavendertally;
using namespace lavendertally::configurationcheck;

namespace {

struct DifferenceCase
{
    Rule rule;
    EntryPath path;
    Effect effect;
    /// Part of the reason.
    const char *reason;
    std::function<void(ConfigurationDraft &)> change;
};

void PrintTo(const DifferenceCase &each, std::ostream *stream)
{
    *stream << ruleName(each.rule) << ": " << each.reason;
}

std::vector<Finding> differences(const ConfigurationDraft &before, ConfigurationDraft after)
{
    after.version = before.version.next();
    return findDifferences(compared(before), compared(after), PlainNames());
}

EntryPath section(EntrySection where)
{
    return {where, {}, EntryField::None, {}, {}};
}

EntryPath entry(EntrySection where, std::size_t index, EntryField field)
{
    return {where, index, field, {}, {}};
}

serving::Route routeFor(const ConfigurationDraft &draft, const char *name, const char *prefix)
{
    serving::Route route = draft.routes[0];
    route.id = framework::RouteId(name);
    route.prefix = prefix;
    return route;
}

} // namespace

class DifferenceTest : public testing::TestWithParam<DifferenceCase>
{ };

/// A change that is not reported, or under another rule, or with changes that are none.
TEST_P(DifferenceTest, ChangeIsReportedAlone)
{
    ConfigurationDraft after = soundDraft();
    GetParam().change(after);
    const std::vector<Finding> findings = differences(soundDraft(), after);
    ASSERT_EQ(findings.size(), 1U);
    EXPECT_EQ(ruleName(findings[0].rule), ruleName(GetParam().rule));
    EXPECT_EQ(findings[0].path, PlainNames().pathOf(GetParam().path));
    EXPECT_EQ(findings[0].effect, GetParam().effect);
    EXPECT_NE(findings[0].reason.find(GetParam().reason), std::string::npos) << findings[0].reason;
    EXPECT_EQ(findings[0].reason.find("key one"), std::string::npos) << "an API key is shown";
}

INSTANTIATE_TEST_SUITE_P(
    Routes, DifferenceTest,
    testing::Values(
        DifferenceCase{Rule::RouteMoved, entry(EntrySection::Routes, 0, EntryField::Split),
                       Effect::Drains, "h/a/ go to s2 instead of s1",
                       [](auto &draft) {
                           draft.routes[0].split = {{framework::ServiceId("s2"), 1}};
                       }},
        DifferenceCase{Rule::RouteSplit, entry(EntrySection::Routes, 0, EntryField::Split),
                       Effect::Drains, "to s1 (weight 9), s2 (weight 1) instead of s1",
                       [](auto &draft) {
                           draft.routes[0].split = {{framework::ServiceId("s1"), 9},
                                                    {framework::ServiceId("s2"), 1}};
                       }},
        DifferenceCase{Rule::RouteSplit, entry(EntrySection::Routes, 1, EntryField::None),
                       Effect::Drains, "takes the requests for h/a/b/ from route r1",
                       [](auto &draft) { draft.routes.push_back(routeFor(draft, "r2", "/a/b/")); }},
        DifferenceCase{Rule::RouteAdded, entry(EntrySection::Routes, 1, EntryField::None),
                       Effect::AtOnce, "h/b/ had no route before",
                       [](auto &draft) { draft.routes.push_back(routeFor(draft, "r2", "/b/")); }},
        DifferenceCase{Rule::RouteLosesCallers, section(EntrySection::Routes), Effect::Drains,
                       "h/a/ find no route; route r1 is gone",
                       [](auto &draft) { draft.routes.clear(); }},
        DifferenceCase{Rule::RouteChanged, entry(EntrySection::Routes, 0, EntryField::None),
                       Effect::Drains, "h/a/: name, priority",
                       [](auto &draft) {
                           draft.routes[0].id = framework::RouteId("renamed");
                           draft.routes[0].priority = framework::PriorityRank(2);
                       }},
        DifferenceCase{Rule::RouteChanged, entry(EntrySection::Routes, 0, EntryField::IsPublic),
                       Effect::AtOnce, "accepts requests without an API key",
                       [](auto &draft) { draft.routes[0].isPublic = true; }},
        DifferenceCase{Rule::LimitTightened, entry(EntrySection::Routes, 0, EntryField::Timeout),
                       Effect::Drains, "999 instead of 1000",
                       [](auto &draft) { draft.routes[0].timeout = framework::Milliseconds(999); }},
        DifferenceCase{Rule::LimitLoosened, entry(EntrySection::Routes, 0, EntryField::MaxAttempts),
                       Effect::Drains, "3 instead of 2",
                       [](auto &draft) { draft.routes[0].maxAttempts = 3; }}));

INSTANTIATE_TEST_SUITE_P(
    TeamsAndLimits, DifferenceTest,
    testing::Values(
        DifferenceCase{Rule::KeyRemoved, entry(EntrySection::Teams, 0, EntryField::Keys),
                       Effect::AtOnce, "of team t1",
                       [](auto &draft) { draft.teams->at(0).keys.clear(); }},
        DifferenceCase{Rule::KeyRemoved, section(EntrySection::Teams), Effect::AtOnce, "of team t1",
                       [](auto &draft) { draft.teams->erase(draft.teams->begin()); }},
        DifferenceCase{Rule::KeyMoved, entry(EntrySection::Teams, 1, EntryField::Keys),
                       Effect::AtOnce, "stands for team t2 instead of t1",
                       [](auto &draft) {
                           draft.teams->at(1).keys.push_back(draft.teams->at(0).keys[0]);
                           draft.teams->at(0).keys.clear();
                       }},
        DifferenceCase{Rule::KeyAdded,
                       {EntrySection::Teams, 0, EntryField::Keys, 1, {}},
                       Effect::AtOnce,
                       "of team t1 is accepted",
                       [](auto &draft) { draft.teams->at(0).keys.emplace_back("key one more"); }},
        DifferenceCase{
            Rule::TeamChanged, entry(EntrySection::Teams, 0, EntryField::Priority), Effect::AtOnce,
            "priority 1 instead of the priority of the route",
            [](auto &draft) { draft.teams->at(0).priority = framework::PriorityRank(1); }},
        DifferenceCase{Rule::LimitTightened,
                       {EntrySection::Limits, {}, EntryField::MaxBody, {}, {}},
                       Effect::AtOnce,
                       "bodies",
                       [](auto &draft) { draft.limits.maxBody = framework::Bytes(1); }},
        DifferenceCase{Rule::LimitTightened,
                       {EntrySection::Limits, {}, EntryField::IdleTimeout, {}, {}},
                       Effect::Drains,
                       "idle",
                       [](auto &draft) { draft.limits.idleTimeout = framework::Milliseconds(1); }},
        DifferenceCase{Rule::LimitTightened,
                       entry(EntrySection::Services, 0, EntryField::MaxConnections), Effect::AtOnce,
                       "77 instead of 78",
                       [](auto &draft) { draft.services[0].maxConnections = 77; }},
        DifferenceCase{Rule::LimitLoosened, entry(EntrySection::Services, 0, EntryField::ColdLimit),
                       Effect::AtOnce, "no longer limited to 23",
                       [](auto &draft) { draft.services[0].coldRequestsPerSecond = 0; }},
        DifferenceCase{Rule::LimitTightened, entry(EntrySection::Services, 2, EntryField::Pool),
                       Effect::Drains, "pieces in a call is 7",
                       [](auto &draft) { draft.services[2].stagePool->batchSize = 7; }},
        DifferenceCase{Rule::ServiceChanged, section(EntrySection::Services), Effect::Drains,
                       "service s2 is gone",
                       [](auto &draft) { draft.services.erase(draft.services.begin() + 1); }}));

/// A comparison by position reports an entry that only stands elsewhere.
TEST(Differences, OrderAndProportionsHaveNoMeaning)
{
    ConfigurationDraft before = soundDraft();
    before.routes.push_back(routeFor(before, "r2", "/b/"));
    before.routes[0].split = {{framework::ServiceId("s1"), 1}, {framework::ServiceId("s2"), 3}};
    ConfigurationDraft after = before;
    std::reverse(after.routes.begin(), after.routes.end());
    std::reverse(after.services.begin(), after.services.end());
    std::reverse(after.teams->begin(), after.teams->end());
    after.routes[1].split = {{framework::ServiceId("s2"), 75}, {framework::ServiceId("s1"), 25}};
    EXPECT_EQ(differences(before, after), std::vector<Finding>());
}

/// Callers of a route that is gone are said to be lost although a shorter prefix takes them.
TEST(Differences, ShorterPrefixTakesTheCallersOfARouteThatIsGone)
{
    ConfigurationDraft before = soundDraft();
    before.routes.push_back(routeFor(before, "r2", "/a/b/"));
    before.routes[1].split = {{framework::ServiceId("s2"), 1}};
    const std::vector<Finding> findings = differences(before, soundDraft());
    ASSERT_EQ(findings.size(), 1U);
    EXPECT_EQ(findings[0].rule, Rule::RouteMoved);
    EXPECT_NE(findings[0].reason.find("h/a/b/ of route r2, which is gone: to s1 instead of s2"),
              std::string::npos)
        << findings[0].reason;
}

TEST(Differences, CallersWithoutKeysAreLostWhereKeysBecomeNecessary)
{
    ConfigurationDraft open = soundDraft();
    open.routes[0].isPublic = true;
    std::vector<Finding> findings = differences(open, soundDraft());
    ASSERT_EQ(findings.size(), 1U);
    EXPECT_EQ(findings[0].rule, Rule::RouteLosesCallers);
    ConfigurationDraft withoutTeams = soundDraft();
    withoutTeams.teams.reset();
    findings = differences(withoutTeams, soundDraft());
    ASSERT_EQ(findings.size(), 3U) << "the need for keys, and two keys";
    EXPECT_EQ(findings[0].rule, Rule::RouteLosesCallers);
}

/// A version that gateways will ignore is sent in vain.
TEST(Differences, VersionThatIsNotNewerIsAWarning)
{
    const ComparedConfiguration same = compared(soundDraft());
    const std::vector<Finding> findings = findDifferences(same, same, PlainNames());
    ASSERT_EQ(findings.size(), 1U);
    EXPECT_EQ(findings[0].rule, Rule::VersionNotNewer);
    EXPECT_EQ(findings[0].severity(), Severity::Warning);
}
