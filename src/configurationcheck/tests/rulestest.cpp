#include "configurationcheck/configurationcheck.h"
#include "configurationcheck/tests/draftfixture.h"
#include "configurationcheck/tests/plainnames.h"

#include <gtest/gtest.h>

#include <functional>

using namespace lavendertally;
using namespace lavendertally::configurationcheck;

namespace {

using Change = std::function<void(ConfigurationDraft &, CheckContext &)>;

struct RuleCase
{
    Rule rule;
    EntryPath path;
    Change change;
};

void PrintTo(const RuleCase &each, std::ostream *stream)
{
    *stream << ruleName(each.rule);
}

std::vector<Finding> allFindings(const ConfigurationDraft &draft, const CheckContext &context)
{
    const PlainNames names;
    std::vector<Finding> findings = findErrors(draft, names);
    for (Finding &finding : findWarnings(draft, context, names)) {
        findings.push_back(std::move(finding));
    }
    return findings;
}

EntryPath route(std::size_t index, EntryField field)
{
    return {EntrySection::Routes, index, field, {}, {}};
}

EntryPath service(std::size_t index, EntryField field)
{
    return {EntrySection::Services, index, field, {}, {}};
}

EntryPath limit(EntryField field)
{
    return {EntrySection::Limits, {}, field, {}, {}};
}

EntryPath stage(std::size_t index, EntryField field)
{
    return {EntrySection::Routes, 0, EntryField::Stages, index, field};
}

void addRoute(ConfigurationDraft &draft, const char *name, const char *prefix)
{
    draft.routes.push_back(draft.routes[0]);
    draft.routes.back().id = framework::RouteId(name);
    draft.routes.back().prefix = prefix;
}

} // namespace

TEST(ConfigurationRules, SoundConfigurationHasNoFinding)
{
    EXPECT_EQ(allFindings(soundDraft(), plainContext()), std::vector<Finding>());
}

class ConfigurationRuleTest : public testing::TestWithParam<RuleCase>
{ };

/// A fault that is not reported, reported under another rule or at another entry, or that raises
/// further findings.
TEST_P(ConfigurationRuleTest, FaultIsReportedAloneAtItsEntry)
{
    ConfigurationDraft draft = soundDraft();
    CheckContext context = plainContext();
    GetParam().change(draft, context);
    const std::vector<Finding> findings = allFindings(draft, context);
    ASSERT_EQ(findings.size(), 1U);
    EXPECT_EQ(ruleName(findings[0].rule), ruleName(GetParam().rule));
    EXPECT_EQ(findings[0].path, PlainNames().pathOf(GetParam().path));
    EXPECT_EQ(findings[0].reason.find('\n'), std::string::npos);
    EXPECT_EQ(findings[0].reason.find("key one"), std::string::npos) << "an API key is shown";
}

INSTANTIATE_TEST_SUITE_P(
    Errors, ConfigurationRuleTest,
    testing::Values(
        RuleCase{Rule::DuplicateName, route(1, EntryField::Name),
                 [](auto &draft, auto &) { addRoute(draft, "r1", "/b/"); }},
        RuleCase{Rule::DuplicateName, service(3, EntryField::Name),
                 [](auto &draft, auto &) { draft.services.push_back(draft.services[0]); }},
        RuleCase{Rule::DuplicateName,
                 {EntrySection::Teams, 1, EntryField::Name, {}, {}},
                 [](auto &draft, auto &) { draft.teams->at(1).id = draft.teams->at(0).id; }},
        RuleCase{Rule::UnknownService,
                 {EntrySection::Routes, 0, EntryField::Split, 0, EntryField::Service},
                 [](auto &draft, auto &) {
                     draft.routes[0].split[0].service = framework::ServiceId("none");
                 }},
        RuleCase{Rule::UnknownService, stage(1, EntryField::Service),
                 [](auto &draft, auto &) {
                     draft.routes[0].stages[1].service = framework::ServiceId("none");
                 }},
        RuleCase{Rule::UnknownName, stage(1, EntryField::After),
                 [](auto &draft, auto &) { draft.routes[0].stages[1].after = {7}; }},
        RuleCase{Rule::StageOrder, stage(0, EntryField::After),
                 [](auto &draft, auto &) { draft.routes[0].stages[0].after = {1}; }},
        RuleCase{Rule::StageWithoutPool, stage(0, EntryField::Service),
                 [](auto &draft, auto &) {
                     draft.routes[0].stages[0].service = framework::ServiceId("s2");
                 }},
        RuleCase{
            Rule::DuplicateKey,
            {EntrySection::Teams, 1, EntryField::Keys, 0, {}},
            [](auto &draft, auto &) { draft.teams->at(1).keys[0] = draft.teams->at(0).keys[0]; }}));

INSTANTIATE_TEST_SUITE_P(
    NeverMatches, ConfigurationRuleTest,
    testing::Values(RuleCase{Rule::PrefixHidden, route(1, EntryField::Prefix),
                             [](auto &draft, auto &) { addRoute(draft, "r2", "/a/"); }},
                    RuleCase{Rule::HostNeverMatches, route(0, EntryField::HostName),
                             [](auto &draft, auto &) { draft.routes[0].hostName = "h:8080"; }},
                    RuleCase{Rule::PrefixNeverMatches, route(0, EntryField::Prefix),
                             [](auto &draft, auto &) { draft.routes[0].prefix = "a/"; }},
                    RuleCase{Rule::PrefixNeverMatches, route(0, EntryField::Prefix),
                             [](auto &draft, auto &) { draft.routes[0].prefix = "/a?b="; }},
                    RuleCase{Rule::AttemptsNeverMade, route(0, EntryField::MaxAttempts),
                             [](auto &draft, auto &) { draft.routes[0].maxAttempts = 5; }},
                    RuleCase{Rule::AttemptsNeverMade, route(0, EntryField::MaxAttempts),
                             [](auto &draft, auto &) {
                                 draft.routes[0].stages.clear();
                                 draft.routes[0].maxAttempts = 4;
                                 draft.routes[0].timeout = framework::Milliseconds(6);
                                 draft.routes[0].latencyObjective = framework::Milliseconds(6);
                                 draft.services[0].coldRequestsPerSecond = 0;
                             }},
                    RuleCase{Rule::NoValidKey,
                             {EntrySection::Teams, {}, {}, {}, {}},
                             [](auto &draft, auto &) {
                                 for (serving::TeamEntry &team : *draft.teams) {
                                     team.keys.clear();
                                 }
                             }},
                    RuleCase{Rule::NoValidKey,
                             {EntrySection::Teams, {}, {}, {}, {}},
                             [](auto &draft, auto &) { draft.teams->clear(); }},
                    RuleCase{
                        Rule::BatchNeverFills,
                        {EntrySection::Services, 2, EntryField::Pool, {}, EntryField::BatchSize},
                        [](auto &draft, auto &) {
                            draft.services[2].stagePool->resultCapacity = framework::Bytes(799);
                        }}));

INSTANTIATE_TEST_SUITE_P(
    ContradictoryLimits, ConfigurationRuleTest,
    testing::Values(RuleCase{Rule::TimeoutBelowObjective, route(0, EntryField::Timeout),
                             [](auto &draft, auto &) {
                                 draft.routes[0].timeout = framework::Milliseconds(499);
                             }},
                    // Two stages of 21 ms, one after the other.
                    RuleCase{Rule::StagesExceedObjective, route(0, EntryField::Stages),
                             [](auto &draft, auto &) {
                                 draft.routes[0].latencyObjective = framework::Milliseconds(42);
                             }},
                    RuleCase{Rule::ColdLimitTooLow, service(0, EntryField::ColdLimit),
                             [](auto &draft, auto &context) {
                                 context.gateways = 24;
                                 draft.services[1].coldRequestsPerSecond = 0;
                             }},
                    RuleCase{Rule::BodyLimitAboveBudget, limit(EntryField::MaxBody),
                             [](auto &draft, auto &context) {
                                 draft.limits.maxBody = context.heldBodies + framework::Bytes(1);
                             }},
                    RuleCase{Rule::IdleTimeTooShort, limit(EntryField::IdleTimeout),
                             [](auto &draft, auto &) {
                                 draft.limits.idleTimeout = framework::Milliseconds(499);
                             }},
                    RuleCase{Rule::IdleTimeTooShort, limit(EntryField::HeaderTimeout),
                             [](auto &draft, auto &) {
                                 draft.limits.headerTimeout = framework::Milliseconds(99);
                             }},
                    RuleCase{Rule::ConnectionCapTooLow, service(1, EntryField::MaxConnections),
                             [](auto &draft, auto &context) {
                                 context.gateways = 3;
                                 draft.services[1].maxConnections = 2;
                             }}));

/// The platform does not say in which order stages are numbered.
TEST(ConfigurationRules, StageNeedsOneWithAHigherNumber_IsNoFault)
{
    ConfigurationDraft draft = soundDraft();
    draft.routes[0].stages[0].after = {1};
    draft.routes[0].stages[1].after = {};
    EXPECT_EQ(allFindings(draft, plainContext()), std::vector<Finding>());
    draft.routes[0].latencyObjective = framework::Milliseconds(42);
    const std::vector<Finding> findings = allFindings(draft, plainContext());
    ASSERT_EQ(findings.size(), 1U);
    EXPECT_EQ(findings[0].rule, Rule::StagesExceedObjective)
        << "42 ms for both, one after the other";
}

/// A stage behind a cycle is not part of it.
TEST(ConfigurationRules, StageWaitsForACycle_OnlyTheCycleIsReported)
{
    ConfigurationDraft draft = soundDraft();
    auto &stages = draft.routes[0].stages;
    stages = {stages[0], stages[0], stages[0], stages[0]};
    stages[0].after = {2};
    stages[1].after = {3};
    stages[2].after = {1};
    stages[3].after = {1};
    const std::vector<Finding> findings = allFindings(draft, plainContext());
    ASSERT_EQ(findings.size(), 1U);
    EXPECT_EQ(findings[0].rule, Rule::StageOrder);
    EXPECT_EQ(findings[0].path, PlainNames().pathOf(stage(1, EntryField::After)));
}

/// A daemon must not refuse what it can live with.
TEST(ConfigurationRules, OnlyErrorsAreErrors)
{
    for (int rule = 0; rule <= static_cast<int>(Rule::LimitLoosened); ++rule) {
        const auto each = static_cast<Rule>(rule);
        EXPECT_EQ(severityOf(each) == Severity::Error, groupOf(each) == RuleGroup::Errors)
            << ruleName(each);
    }
    EXPECT_EQ(severityOf(Rule::PrefixHidden), Severity::Warning);
    EXPECT_EQ(severityOf(Rule::DuplicateKey), Severity::Error);
}

/// A key listed twice by one team, during a rotation, has one meaning.
TEST(ConfigurationRules, KeyTwiceInOneTeamIsNoFault)
{
    ConfigurationDraft draft = soundDraft();
    draft.teams->at(0).keys.push_back(draft.teams->at(0).keys[0]);
    EXPECT_EQ(allFindings(draft, plainContext()), std::vector<Finding>());
}
