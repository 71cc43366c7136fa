#include "platform/configurationinspection.h"
#include "platform/activeconfigurationcodec.h"

#include "configurationcheck/tests/draftfixture.h"
#include "configurationcheck/types/comparedconfiguration.h"
#include "platform/internal/configurationcodec.h"
#include "platform/tests/generatedconfiguration.h"
#include "serving/types/servingconfiguration.h"

#include <gtest/gtest.h>

#include <functional>
#include <set>

using namespace lavendertally;
using namespace lavendertally::platform;

namespace {

using configurationcheck::Finding;
using configurationcheck::Rule;
using configurationcheck::Severity;
using nlohmann::json;
using Found = std::set<std::pair<std::string, std::string>>;

constexpr std::uint64_t Seed = 20261206;
constexpr int CleanCases = 500;
constexpr int CasesOfEachFault = 40;

/// A fault put into a sound configuration.
struct Fault
{
    Rule rule;
    /// Path of the entry that must be reported.
    const char *path;
    std::function<void(json &)> apply;
};

json soundRoute(const char *name)
{
    return {{"name", name},
            {"hostname", "x"},
            {"pathPrefix", std::string("/") + name},
            {"routeKind", "idempotent"},
            {"timeoutMs", 900},
            {"service", "plain"}};
}

/// \return a fault in a route put before all others
Fault routeFault(Rule rule, const char *path, const json &patch)
{
    return {rule, path, [patch](json &configuration) {
                json route = soundRoute("faulty");
                route.merge_patch(patch);
                configuration["routes"].insert(configuration["routes"].begin(), route);
            }};
}

/// \return a fault in a service put before all others
Fault serviceFault(Rule rule, const char *path, const json &patch)
{
    return {rule, path, [patch](json &configuration) {
                json service = {{"name", "faulty"}};
                service.merge_patch(patch);
                configuration["services"].insert(configuration["services"].begin(), service);
            }};
}

Fault patchFault(Rule rule, const char *path, const json &patch)
{
    return {rule, path, [patch](json &configuration) { configuration.merge_patch(patch); }};
}

json poolWith(const char *name, const json &value)
{
    json pool = {{"slots", 1},    {"batchSize", 4},    {"callMs", 1},
                 {"itemMs", 1.0}, {"headroomMb", 1.0}, {"handleS", 4.0}};
    pool[name] = value;
    return {{"pieces", pool}};
}

std::vector<Fault> faults()
{
    const json twoTeams = {{{"name", "t1"}, {"apiKeys", {"same"}}},
                           {{"name", "t2"}, {"apiKeys", {"same"}}}};
    return {
        patchFault(Rule::WrongType, "version", {{"version", "7"}}),
        patchFault(Rule::OutOfRange, "version", {{"version", -1}}),
        patchFault(Rule::WrongType, "tenants", {{"tenants", {{"name", "t"}}}}),
        patchFault(Rule::ToleratedValue, "tenants[0].apiKeys[0]",
                   {{"tenants", {{{"name", "t"}, {"apiKeys", {7, "k"}}}}}}),
        patchFault(Rule::NoValidKey, "tenants", {{"tenants", json::array()}}),
        {Rule::NoValidKey, "tenants",
         [](json &configuration) { configuration["tenants"] = nullptr; }},
        patchFault(Rule::NoValidKey, "tenants",
                   {{"tenants", {{{"name", "t"}, {"apiKeys", json::array()}}}}}),
        patchFault(Rule::DuplicateKey, "tenants[1].apiKeys[0]", {{"tenants", twoTeams}}),
        patchFault(Rule::WrongType, "limits.maxBodyBytes",
                   {{"limits", {{"maxBodyBytes", "4 MB"}}}}),
        patchFault(Rule::OutOfRange, "limits.idleTimeoutMs", {{"limits", {{"idleTimeoutMs", -1}}}}),
        patchFault(Rule::BodyLimitAboveBudget, "limits.maxBodyBytes",
                   {{"limits", {{"maxBodyBytes", 33554433}}}}),
        patchFault(Rule::IdleTimeTooShort, "limits.idleTimeoutMs",
                   {{"limits", {{"idleTimeoutMs", 400}}}}),
        routeFault(Rule::WrongType, "routes[0].hostname", {{"hostname", nullptr}}),
        routeFault(Rule::WrongType, "routes[0].timeoutMs", {{"timeoutMs", "900ms"}}),
        routeFault(Rule::OutOfRange, "routes[0].timeoutMs", {{"timeoutMs", -900}}),
        routeFault(Rule::OutOfRange, "routes[0].maxAttempts", {{"maxAttempts", 4294967297}}),
        routeFault(Rule::ToleratedValue, "routes[0].maxAttempts", {{"maxAttempts", -1}}),
        routeFault(Rule::ToleratedValue, "routes[0].priority", {{"priority", -1}}),
        routeFault(Rule::ToleratedValue, "routes[0].service", {{"service", ""}}),
        routeFault(
            Rule::ShareWithoutWeight, "routes[0].trafficSplit[0].weight",
            {{"trafficSplit",
              {{{"service", "plain"}, {"weight", -1}}, {{"service", "other"}, {"weight", 1}}}}}),
        serviceFault(Rule::ToleratedValue, "services[0].maxConnections", {{"maxConnections", -1}}),
        serviceFault(Rule::ToleratedValue, "services[0].coldPerS", {{"coldPerS", -1}}),
        serviceFault(Rule::ToleratedValue, "services[0].pieces.queueLimit",
                     poolWith("queueLimit", -1)),
        routeFault(Rule::UnknownName, "routes[0].routeKind", {{"routeKind", "stream"}}),
        routeFault(Rule::DuplicateName, "routes[1].name", {{"name", "r0"}}),
        routeFault(Rule::UnknownService, "routes[0].service", {{"service", "none"}}),
        routeFault(
            Rule::UnknownService, "routes[0].trafficSplit[1].service",
            {{"trafficSplit",
              {{{"service", "plain"}, {"weight", 1}}, {{"service", "none"}, {"weight", 1}}}}}),
        // The share that is left out must not move the place of the one after it.
        routeFault(
            Rule::ShareWithoutWeight, "routes[0].trafficSplit[0].weight",
            {{"trafficSplit",
              {{{"service", "plain"}, {"weight", 0}}, {{"service", "other"}, {"weight", 1}}}}}),
        routeFault(Rule::OutOfRange, "routes[0].trafficSplit", {{"trafficSplit", json::array()}}),
        routeFault(
            Rule::StageOrder, "routes[0].stages[0].after",
            {{"stages",
              {{{"service", "pool"}, {"after", {1}}}, {{"service", "pool"}, {"after", {0}}}}}}),
        routeFault(Rule::UnknownName, "routes[0].stages[0].after",
                   {{"stages", {{{"service", "pool"}, {"after", {5}}}}}}),
        routeFault(Rule::WrongType, "routes[0].stages[0].after[0]",
                   {{"stages", {{{"service", "pool"}, {"after", {"first"}}}}}}),
        routeFault(Rule::StageWithoutPool, "routes[0].stages[0].service",
                   {{"stages", {{{"service", "plain"}}}}}),
        routeFault(Rule::HostNeverMatches, "routes[0].hostname", {{"hostname", "x:80"}}),
        routeFault(Rule::PrefixNeverMatches, "routes[0].pathPrefix", {{"pathPrefix", "a/"}}),
        routeFault(Rule::AttemptsNeverMade, "routes[0].maxAttempts", {{"maxAttempts", 9}}),
        routeFault(Rule::TimeoutBelowObjective, "routes[0].timeoutMs", {{"targetLatencyMs", 901}}),
        routeFault(Rule::StagesExceedObjective, "routes[0].stages",
                   {{"targetLatencyMs", 3}, {"stages", {{{"service", "pool"}}}}}),
        routeFault(Rule::MisspeltMember, "routes[0].targetLatencyMS", {{"targetLatencyMS", 1}}),
        serviceFault(Rule::MisspeltMember, "services[0].maxConnection", {{"maxConnection", 1}}),
        patchFault(Rule::MisspeltMember, "limits.idle_timeout_ms",
                   {{"limits", {{"idle_timeout_ms", 1}}}}),
        serviceFault(Rule::WrongType, "services[0].maxConnections", {{"maxConnections", 1.5}}),
        serviceFault(Rule::ColdLimitTooLow, "services[0].coldPerS", {{"coldPerS", 0.25}}),
        serviceFault(Rule::OutOfRange, "services[0].pieces.slots", poolWith("slots", 0)),
        serviceFault(Rule::OutOfRange, "services[0].pieces.batchSize", poolWith("batchSize", 0)),
        serviceFault(Rule::WrongType, "services[0].pieces.handleS", poolWith("handleS", "4s")),
        serviceFault(Rule::DuplicateName, "services[1].name", {{"name", "plain"}}),
    };
}

Found found(const std::vector<Finding> &findings)
{
    Found result;
    for (const Finding &finding : findings) {
        result.emplace(ruleName(finding.rule), finding.path);
    }
    return result;
}

ConfigurationInspection inspect(const json &configuration)
{
    return inspectConfiguration(configuration.dump(), configurationcheck::plainContext());
}

/// \return whether the daemon takes every entry of \p configuration, as it is written
void expectTakenWhole(const json &configuration)
{
    const auto decoded = decodeConfiguration(configuration.dump());
    ASSERT_TRUE(decoded);
    const serving::ServingConfiguration &taken = **decoded;
    for (const json &route : configuration["routes"]) {
        const std::string path = route["pathPrefix"].get<std::string>() + "x";
        const serving::Route *known = taken.findRoute(route["hostname"].get<std::string>(), path);
        ASSERT_NE(known, nullptr);
        EXPECT_EQ(known->id.value(), route["name"]);
        EXPECT_EQ(known->timeout.value(), route["timeoutMs"]);
        EXPECT_EQ(known->stages.size(), route.value("stages", json::array()).size());
        for (const serving::TrafficShare &share : known->split) {
            EXPECT_NE(taken.findService(share.service), nullptr);
        }
    }
    for (const json &team : configuration["tenants"]) {
        for (const json &key : team["apiKeys"]) {
            const auto *owner = taken.findTeam(framework::ApiKey(key.get<std::string>()));
            ASSERT_NE(owner, nullptr);
            EXPECT_EQ(owner->id.value(), team["name"]);
        }
    }
}

} // namespace

/// The tool calls a configuration clean that the daemon refuses or takes in part.
TEST(ConfigurationInspectionTest, DaemonTakesWholeWhatIsClean)
{
    GeneratedConfiguration generator(Seed);
    for (int each = 0; each < CleanCases; ++each) {
        const json configuration = generator.make();
        EXPECT_EQ(found(inspect(configuration).findings), Found()) << configuration;
        expectTakenWhole(configuration);
    }
}

/// The tool reports a fault not at all, under another rule or elsewhere; or the daemon takes an
/// error or refuses a warning.
TEST(ConfigurationInspectionTest, DaemonRefusesErrorsAndNothingElse)
{
    GeneratedConfiguration generator(Seed);
    for (const Fault &fault : faults()) {
        for (int each = 0; each < CasesOfEachFault; ++each) {
            json configuration = generator.make();
            fault.apply(configuration);
            const auto inspection = inspect(configuration);
            const bool isError = severityOf(fault.rule) == Severity::Error;
            EXPECT_EQ(found(inspection.findings),
                      (Found{{std::string(ruleName(fault.rule)), fault.path}}))
                << configuration;
            EXPECT_EQ(inspection.hasErrors(), isError);
            EXPECT_EQ(!decodeConfiguration(configuration.dump()), isError) << configuration;
        }
    }
}

TEST(ConfigurationInspectionTest, TextThatIsNoObjectIsUnreadable)
{
    for (const char *text : {"", "{", "[]", "7", "{\"version\":1} x"}) {
        const auto inspection = inspectConfiguration(text);
        EXPECT_EQ(found(inspection.findings), (Found{{"unreadable-file", ""}})) << text;
        EXPECT_FALSE(decodeConfiguration(text));
    }
}

/// Products of limits that are as large as can be read must not overflow.
TEST(ConfigurationInspectionTest, LargestValuesAreJudged)
{
    json configuration = GeneratedConfiguration(Seed).make(1, 1);
    configuration["routes"][0].update(
        {{"timeoutMs", 9007199254740992}, {"stages", {{{"service", "pool"}, {"bytes", 9e15}}}}});
    configuration["services"][0]["coldPerS"] = 4294967295;
    configuration["services"][1]["coldPerS"] = 4294967295;
    configuration["services"][2]["pieces"]["batchSize"] = 4294967295;
    EXPECT_EQ(found(inspect(configuration).findings),
              (Found{{"batch-never-fills", "services[2].pieces.batchSize"}}));
}

/// A secret in a report: reasons name a team and a hash.
TEST(ConfigurationInspectionTest, KeysAreNotShown)
{
    const auto inspection = inspectConfiguration(
        R"({"version":1,"routes":[],"services":[],"tenants":[{"name":"a","apiKeys":["s3cret"]},
            {"name":"b","apiKeys":["s3cret"]}]})");
    ASSERT_EQ(inspection.findings.size(), 1U);
    EXPECT_EQ(inspection.findings[0].reason.find("s3cret"), std::string::npos);
    EXPECT_NE(inspection.findings[0].reason.find("teams a and b"), std::string::npos);
}

/// Guards against requests that run without a key because the list of teams is empty.
TEST(ConfigurationInspectionTest, TeamsAreAskedForWhereverTheirListIsWritten)
{
    const std::string start = R"({"version":1,"routes":[],"services":[])";
    EXPECT_FALSE((*decodeConfiguration(start + "}"))->requiresKeys());
    for (const char *teams : {"[]", "null", R"([{"name":"t","apiKeys":[]}])"}) {
        const auto decoded = decodeConfiguration(start + R"(,"tenants":)" + teams + "}");
        ASSERT_TRUE(decoded) << teams;
        EXPECT_TRUE((*decoded)->requiresKeys()) << teams;
        EXPECT_EQ((*decoded)->findTeam(framework::ApiKey("")), nullptr);
        const auto active = decodeActiveConfiguration(encodeActiveConfiguration(**decoded));
        ASSERT_TRUE(active);
        EXPECT_TRUE(active->teams.has_value()) << "as lavendertallyctl reads it";
    }
    for (const char *teams : {"7", "{}", "\"\"", "false"}) {
        EXPECT_FALSE(decodeConfiguration(start + R"(,"tenants":)" + teams + "}")) << teams;
    }
}
