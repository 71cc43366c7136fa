#include "configuration/tests/parserfixture.h"

#include <gtest/gtest.h>

using namespace lavendertally;
using namespace lavendertally::configuration;

namespace {

const std::string Common = R"(id: d1
host: h1
availability_zone: z1
listen: 127.0.0.1:0
control_listen: 127.0.0.1:0
log_service: 127.0.0.1:7000
host_list: 127.0.0.1:7001
)";
const std::string Entry = "role: entry\n" + Common;
const std::string Host = "role: host\n" + Common;
const std::string Gateway = R"(role: gateway
id: g1
host: g1
availability_zone: z1
listen: 127.0.0.1:1
control_listen: 127.0.0.1:2
ready_listen: 127.0.0.1:3
metrics_listen: 127.0.0.1:4
store: 10.0.0.1:7000
)";

struct BadSettings
{
    std::string name;
    std::string text;
    int line;
    std::string key;
    std::string expected;
};

void PrintTo(const BadSettings &settings, std::ostream *stream)
{
    *stream << settings.name;
}

const BadSettings BadFiles[] = {
    {"Empty", "", 1, "", "empty"},
    {"UnknownKey", Entry + "drain: 5s\n", 9, "drain", "drain_timeout"},
    {"BadRole", "role: both\n" + Common, 1, "role", "entry host"},
    {"GatewayWithoutStore", Gateway.substr(0, Gateway.find("store")), 1, "store", "missing"},
    {"GatewayWithLog", Gateway + "log_service: 127.0.0.1:7\n", 10, "log_service", "drain_timeout"},
    {"BadRetries", Gateway + "shared_retries: many\n", 10, "shared_retries", "number"},
    {"NoProcessor", Gateway + "processor_share: 0\n", 10, "processor_share", "cores"},
    {"ExposureAboveOne", Gateway + "exposure_share: 1.5\n", 10, "exposure_share", "share"},
    {"ExposureNotANumber", Gateway + "exposure_share: -0.1\n", 10, "exposure_share", "share"},
    {"BadGrace", Gateway + "shutdown_grace: 1.2.3s\n", 10, "shutdown_grace", "duration"},
    {"MissingId", "role: entry\n", 1, "id", "missing"},
    {"HostWithoutBackend", Host, 1, "backend", "missing"},
    {"EntryWithBackend", Entry + "backend: {endpoint: 127.0.0.1:80, service: s}\n", 9, "backend",
     "no backend"},
    {"HostNameInsteadOfAddress", Entry + "seed_peers: [localhost:70]\n", 9, "seed_peers[0]",
     "IPv4"},
    {"PortTooLarge", Entry + "seed_peers: [127.0.0.1:70000]\n", 9, "seed_peers[0]", "65535"},
    {"PeerPortZero", Entry + "seed_peers: [127.0.0.1:0]\n", 9, "seed_peers[0]", "from 1"},
    {"SizeWithTimeUnit", Entry + "max_request: 5s\n", 9, "max_request", "KB"},
    {"SizeTooSmall", Entry + "max_request: 5B\n", 9, "max_request", "from 1024B"},
    {"TooLittleMemory", Entry + "memory_limit: 31MB\n", 9, "memory_limit", "from"},
    {"TooFewDescriptors", Entry + "descriptor_limit: 100\n", 9, "descriptor_limit", "128"},
    {"BodyRateZero", Entry + "min_body_rate: 0B\n", 9, "min_body_rate", "from 1B"},
    {"DurationWithoutUnit", Entry + "drain_timeout: 500\n", 9, "drain_timeout", "unit"},
    {"ClaimWindowLongerThanRetention", Entry + "log_retention: 1m\nclaim_window: 2m\n", 10,
     "claim_window", "shorter than log_retention"},
};

} // namespace

class BadSettingsFile : public testing::TestWithParam<BadSettings>
{ };

TEST_P(BadSettingsFile, InvalidFile_IsRejectedWithPositionKeyAndExpectation)
{
    const auto parser = ConfigurationModule::makeSettingsParser();
    const FileDiagnostics found =
        diagnosticsOf([&] { return parser->parse("s.yaml", GetParam().text); });
    ASSERT_FALSE(found.entries.empty());
    const FileDiagnostic &first = found.entries.front();
    EXPECT_EQ(first.file, "s.yaml");
    EXPECT_EQ(first.line, GetParam().line) << first.toString();
    EXPECT_EQ(first.key, GetParam().key) << first.toString();
    EXPECT_NE(first.expected.find(GetParam().expected), std::string::npos) << first.toString();
}

INSTANTIATE_TEST_SUITE_P(Files, BadSettingsFile, testing::ValuesIn(BadFiles),
                         [](const auto &info) { return info.param.name; });

TEST(SettingsParser, HostSettings_AllKeysAreRead)
{
    const auto parser = ConfigurationModule::makeSettingsParser();
    const DaemonSettings read =
        parser
            ->parse("s.yaml",
                    Host
                        + "seed_peers: [10.0.0.1:5, 10.0.0.2:6]\n"
                          "backend: {endpoint: 127.0.0.1:80, service: writer}\n"
                          "log_format: json\nmax_request: 64KB\ndrain_timeout: 90s\n"
                          "log_retention: 2h\nclaim_window: 30m\n")
            .value();
    EXPECT_EQ(read.role, DaemonRole::Host);
    EXPECT_EQ(read.zone, framework::AvailabilityZoneId("z1"));
    EXPECT_EQ(read.logService, (framework::Endpoint{"127.0.0.1", 7000}));
    EXPECT_EQ(read.seedPeers.size(), 2U);
    EXPECT_EQ(read.service, framework::ServiceId("writer"));
    EXPECT_EQ(read.logFormat, framework::LogFormat::Json);
    EXPECT_EQ(read.maxRequest, framework::Bytes(64 * 1024));
    EXPECT_EQ(read.drainTimeout, framework::Milliseconds(90000));
    EXPECT_EQ(read.logRetention, framework::Milliseconds(7200000));
    EXPECT_EQ(read.claimWindow, framework::Milliseconds(1800000));
}

TEST(SettingsParser, GatewaySettings_AcceptDecimalNumbers)
{
    const auto settings = ConfigurationModule::makeSettingsParser()->parse(
        "g.yaml",
        Gateway
            + "seed_peers: [\"10.0.0.2:7\",\"10.0.0.3:7\"]\nrevocation_limit: 5000ms\n"
              "shutdown_grace: 7.5s\nshared_retries: 56.9\nprocessor_share: 0.09\n"
              "memory_limit: 120MB\ndescriptor_limit: 3075\nmin_body_rate: 2KB\n"
              "log_format: json\n");
    ASSERT_TRUE(settings);
    EXPECT_EQ(settings->role, DaemonRole::Gateway);
    EXPECT_EQ(settings->gateway.store.toString(), "10.0.0.1:7000");
    EXPECT_EQ(settings->gateway.shutdownGrace, framework::Milliseconds(7500));
    EXPECT_EQ(settings->gateway.sharedRetries, 56U);
    EXPECT_EQ(settings->memoryLimit, framework::Bytes(120 * 1024 * 1024));
    EXPECT_EQ(settings->descriptorLimit, 3075U);
    EXPECT_EQ(settings->minBodyRate, framework::Bytes(2048));
    EXPECT_EQ(settings->gateway.processorShare, framework::Millicores(90));
}

TEST(SettingsParser, GatewaySettings_BoundsOfRolloutsAreOptional)
{
    const auto parser = ConfigurationModule::makeSettingsParser();
    const auto without = parser->parse("f", Gateway);
    ASSERT_TRUE(without);
    EXPECT_EQ(without->gateway.exposureShare, 0.0);
    const auto with = parser->parse(
        "f", Gateway + "exposure_share: 0.1\nexposure_slack: 50\nrollback_limit: 5000ms\n");
    ASSERT_TRUE(with);
    EXPECT_EQ(with->gateway.exposureShare, 0.1);
    EXPECT_EQ(with->gateway.exposureSlack, 50U);
    EXPECT_EQ(with->gateway.rollbackLimit, framework::Milliseconds(5000));
}
