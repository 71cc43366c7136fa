#include "framework/testing/fakeclock.h"
#include "framework/testing/fakescheduler.h"
#include "operatortool/commandline.h"
#include "operatortool/operatortool.h"
#include "operatortool/tests/fakeoperatorclient.h"
#include "platform/activeconfigurationcodec.h"
#include "platform/configurationinspection.h"
#include "platform/tests/generatedconfiguration.h"
#include "serving/types/servingconfiguration.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <limits>
#include <map>
#include <sstream>
#include <unistd.h>

using namespace lavendertally;
using namespace lavendertally::operatortool;
using nlohmann::json;

namespace {

constexpr std::uint64_t Seed = 20261206;

/// One fault of each kind that one file can hold.
const char *const FaultyConfiguration = R"({"version": 7,
 "routes": [
  {"name": "sound", "hostname": "h", "pathPrefix": "/a/", "routeKind": "idempotent",
   "timeoutMs": 900, "service": "plain"},
  {"name": "sound", "hostname": "h", "pathPrefix": "/b/", "routeKind": "idempotent",
   "timeoutMs": 900, "service": "plain"},
  {"name": "r2", "hostname": "h", "pathPrefix": "/c/", "routeKind": "fast",
   "timeoutMs": 900, "service": "plain"},
  {"name": "r3", "hostname": "h", "pathPrefix": "/d/", "routeKind": "idempotent",
   "timeoutMs": "900ms", "service": "plain"},
  {"name": "r4", "hostname": "h", "pathPrefix": "/e/", "routeKind": "idempotent",
   "timeoutMs": -900, "service": "plain"},
  {"name": "r5", "hostname": "h", "pathPrefix": "/f/", "routeKind": "idempotent",
   "timeoutMs": 900, "service": "none"},
  {"name": "r6", "hostname": "h", "pathPrefix": "/g/", "routeKind": "idempotent",
   "timeoutMs": 900, "service": "plain",
   "stages": [{"service": "pool", "after": [1]}, {"service": "pool", "after": [0]}]},
  {"name": "r7", "hostname": "h", "pathPrefix": "/h/", "routeKind": "idempotent",
   "timeoutMs": 900, "service": "plain", "stages": [{"service": "plain"}]},
  {"name": "r8", "hostname": "h", "pathPrefix": "/a/", "routeKind": "idempotent",
   "timeoutMs": 900, "service": "plain"},
  {"name": "r9", "hostname": "h:80", "pathPrefix": "/a/", "routeKind": "idempotent",
   "timeoutMs": 900, "service": "plain"},
  {"name": "r10", "hostname": "h", "pathPrefix": "/i/?", "routeKind": "idempotent",
   "timeoutMs": 900, "service": "plain"},
  {"name": "r11", "hostname": "h", "pathPrefix": "/j/", "routeKind": "idempotent",
   "timeoutMs": 900, "trafficSplit": [{"service": "plain", "weight": 0},
                                      {"service": "plain", "weight": 1}]},
  {"name": "r12", "hostname": "h", "pathPrefix": "/k/", "routeKind": "idempotent",
   "timeoutMs": 900, "service": "plain", "maxAttempts": 9},
  {"name": "r13", "hostname": "h", "pathPrefix": "/l/", "routeKind": "idempotent",
   "timeoutMs": 900, "service": "plain", "targetLatencyMs": 901},
  {"name": "r14", "hostname": "h", "pathPrefix": "/m/", "routeKind": "idempotent",
   "timeoutMs": 900, "service": "plain", "targetLatencyMs": 20,
   "stages": [{"service": "pool", "bytes": 300000}]}],
 "services": [
  {"name": "plain", "priority": 1, "priority": 2},
  {"name": "capped", "maxConnections": 2},
  {"name": "cold", "coldPerS": 0.25, "maxConnectons": 9},
  {"name": "pool", "pieces": {"slots": 1, "batchSize": 4, "callMs": 20, "itemMs": 1.0,
   "headroomMb": 1.0, "handleS": 4.0}}],
 "limits": {"maxBodyBytes": 536870912},
 "tenants": [{"name": "t1", "apiKeys": ["s3cret"]}, {"name": "t2", "apiKeys": ["s3cret"]}]})";

} // namespace

class CheckCommandTest : public testing::Test
{
protected:
    CheckCommandTest()
        : m_folder(std::filesystem::temp_directory_path() / ("check-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(m_folder);
    }
    ~CheckCommandTest() override { std::filesystem::remove_all(m_folder); }

    /// \return path of a new file
    std::string write(const std::string &name, const std::string &text) const
    {
        const std::string path = (m_folder / name).string();
        std::ofstream(path) << text;
        return path;
    }

    /// \return exit status
    int run(const std::vector<std::string> &words)
    {
        m_output.str("");
        int status = -1;
        OperatorTool tool(m_client, m_scheduler, m_clock, framework::OperationId("fresh"), m_output,
                          m_errors);
        tool.run(parseCommandLine(words).value(),
                 [&](ExitCode result) { status = static_cast<int>(result); });
        return status;
    }

    /// \return rules and paths of the findings of a run with JSON output
    std::multimap<std::string, std::string> findings() const
    {
        std::multimap<std::string, std::string> result;
        const json report = json::parse(m_output.str());
        for (const json &each : report["findings"]) {
            result.emplace(each["rule"].get<std::string>(), each["path"].get<std::string>());
        }
        return result;
    }

    std::filesystem::path m_folder;
    framework::FakeClock m_clock;
    framework::FakeScheduler m_scheduler{m_clock};
    FakeOperatorClient m_client;
    std::ostringstream m_output;
    std::ostringstream m_errors;
};

/// A fault that is missed, is reported twice, or hides another one.
TEST_F(CheckCommandTest, OneFaultOfEachKindIsReportedExactly)
{
    const std::string file = write("faulty.json", FaultyConfiguration);
    EXPECT_EQ(run({"check", file, "--output", "json", "--gateways", "3"}), 65);
    const std::multimap<std::string, std::string> expected = {
        {"duplicate-name", "routes[1].name"},
        {"unknown-name", "routes[2].routeKind"},
        {"wrong-type", "routes[3].timeoutMs"},
        {"out-of-range", "routes[4].timeoutMs"},
        {"unknown-service", "routes[5].service"},
        {"stage-order", "routes[6].stages[0].after"},
        {"stage-without-pool", "routes[7].stages[0].service"},
        {"duplicate-key", "tenants[1].apiKeys[0]"},
        {"prefix-hidden", "routes[8].pathPrefix"},
        {"host-never-matches", "routes[9].hostname"},
        {"prefix-never-matches", "routes[10].pathPrefix"},
        {"share-without-weight", "routes[11].trafficSplit[0].weight"},
        {"attempts-never-made", "routes[12].maxAttempts"},
        {"timeout-below-objective", "routes[13].timeoutMs"},
        {"stages-exceed-objective", "routes[14].stages"},
        {"batch-never-fills", "services[3].pieces.batchSize"},
        {"duplicate-member", "services[0].priority"},
        {"connection-cap-too-low", "services[1].maxConnections"},
        {"cold-limit-too-low", "services[2].coldPerS"},
        {"misspelt-member", "services[2].maxConnectons"},
        {"body-limit-above-budget", "limits.maxBodyBytes"},
    };
    EXPECT_EQ(findings(), expected);
    EXPECT_EQ(m_output.str().find("s3cret"), std::string::npos) << "an API key is shown";
}

TEST_F(CheckCommandTest, PlacesAndExitStatusTellErrorsFromWarnings)
{
    const std::string file = write("faulty.json", FaultyConfiguration);
    EXPECT_EQ(run({"check", file}), 65);
    EXPECT_NE(m_output.str().find("faulty.json:14:22: error: routes[5].service: there is no "
                                  "service none [unknown-service]\n"),
              std::string::npos)
        << m_output.str();
    json sound = platform::GeneratedConfiguration(Seed).make(5, 5);
    EXPECT_EQ(run({"check", write("sound.json", sound.dump())}), 0);
    EXPECT_EQ(m_output.str(), "valid\n");
    sound["limits"]["idleTimeoutMs"] = 1;
    EXPECT_EQ(run({"check", write("warned.json", sound.dump())}), 2);
    EXPECT_NE(m_output.str().find("valid, 1 warning\n"), std::string::npos);
    EXPECT_EQ(run({"check", write("broken.json", "{\"version\": 1,\n \"routes\" [")}), 65);
    EXPECT_NE(m_output.str().find("broken.json:2:11: error: is not JSON"), std::string::npos)
        << m_output.str();
}

TEST_F(CheckCommandTest, OwnFilesAreCheckedBesideThoseOfThePlatform)
{
    const std::string yaml = write("zones.yaml", "availability_zones: [z1]\nzones: 1\n");
    const std::string sound =
        write("sound.json", platform::GeneratedConfiguration(Seed).make(2, 2).dump());
    EXPECT_EQ(run({"check", yaml, sound, "-j"}), 65);
    EXPECT_EQ(findings(), (std::multimap<std::string, std::string>{{"invalid-entry", "zones"}}));
}

/// A difference is missed or invented, or a gateway gives its keys away.
TEST_F(CheckCommandTest, DifferencesFromAFileAndFromAGatewayAreTheSame)
{
    json before = platform::GeneratedConfiguration(Seed).make(3, 3);
    before["tenants"][0]["apiKeys"] = {"s3cret"};
    json after = before;
    after["version"] = before["version"].get<int>() + 1;
    after["routes"][1].erase("trafficSplit");
    after["routes"][1]["service"] = "models";
    after["tenants"][0]["apiKeys"] = json::array();
    const std::string file = write("after.json", after.dump());
    const std::multimap<std::string, std::string> expected = {
        {"route-moved", "routes[1].service"}, {"key-removed", "tenants[0].apiKeys"}};
    EXPECT_EQ(run({"check", file, "-j", "--against", write("before.json", before.dump())}), 0);
    EXPECT_EQ(findings(), expected);
    EXPECT_EQ(m_output.str().find("s3cret"), std::string::npos);
    const auto inspection = platform::inspectConfiguration(before.dump());
    m_client.m_document = platform::encodeActiveConfiguration(serving::ServingConfiguration(
        inspection.draft.version, inspection.draft.routes, inspection.draft.services,
        inspection.draft.limits, inspection.draft.teams));
    EXPECT_EQ(m_client.m_document.find("s3cret"), std::string::npos);
    EXPECT_EQ(run({"check", file, "-j", "--against-active", "--entry", "127.0.0.1:1"}), 0);
    EXPECT_EQ(findings(), expected);
}

/// A check that could not compare is taken for one without differences.
TEST_F(CheckCommandTest, ComparisonThatFailsIsNoSuccess)
{
    const json sound = platform::GeneratedConfiguration(Seed).make(2, 2);
    const std::string file = write("sound.json", sound.dump());
    m_client.m_document = "{}";
    EXPECT_EQ(run({"check", file, "--against-active"}), 69) << "not a configuration";
    m_client.m_reachable = false;
    EXPECT_EQ(run({"check", file, "--against-active"}), 69);
    EXPECT_EQ(run({"check", file, "--against", "/nowhere.json"}), 65);
    EXPECT_EQ(run({"check", file, "--against", write("bad.json", "{}")}), 65);
    EXPECT_NE(m_output.str().find("bad.json:1:1: error: version: is missing"), std::string::npos)
        << m_output.str();
    EXPECT_EQ(run({"check", file, write("other.json", sound.dump()), "--against", file}), 64);
}

/// Processor time that grows faster than the configuration: a thousand routes and 8,100 teams must
/// take less than two seconds, on any machine and build.
TEST_F(CheckCommandTest, TimeGrowsWithTheSizeOfTheConfiguration)
{
    constexpr std::size_t Routes = 125;
    constexpr std::size_t Teams = 1012;
    constexpr std::size_t Factor = 8;
    const auto timeOf = [this](std::size_t factor) {
        platform::GeneratedConfiguration generator(Seed);
        const std::string file =
            write("size.json", generator.make(Routes * factor, Teams * factor).dump());
        std::clock_t shortest = std::numeric_limits<std::clock_t>::max();
        for (int attempt = 0; attempt < 5; ++attempt) {
            const std::clock_t begin = std::clock();
            EXPECT_EQ(run({"check", file}), 0);
            shortest = std::min(shortest, std::clock() - begin);
        }
        return shortest;
    };
    const std::clock_t one = timeOf(1);
    // Linear growth gives 8, quadratic growth 64.
    EXPECT_LT(timeOf(Factor), one * 24);
}
