#include "protocol/ipeermessagecodec.h"
#include "protocol/protocolmodule.h"

#include <gtest/gtest.h>

using namespace lavendertally;
using namespace lavendertally::protocol;

class PeerCodecTest : public testing::TestWithParam<PeerMessage>
{ };

TEST_P(PeerCodecTest, MessageEncodedAndDecoded_IsUnchanged)
{
    const auto codec = ProtocolModule::makePeerCodec();
    const auto decoded = codec->decode(codec->encode(GetParam()));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(*decoded, GetParam());
}

namespace {

StageJob job()
{
    StageJob result;
    result.request = framework::RequestId("r1");
    result.route = framework::RouteId("plans");
    result.stages = {{0, framework::ServiceId("a"), {}, 3, framework::Bytes(800000)},
                     {2, framework::ServiceId("b"), {0}, 1, framework::Bytes(6000)}};
    result.input = framework::StageInputId("key");
    result.objectiveLeft = framework::Milliseconds(-20);
    result.timeLeft = framework::Milliseconds(900);
    result.priority = framework::PriorityRank(2);
    result.worth = 250;
    result.zone = framework::AvailabilityZoneId("za");
    return result;
}

StageJobOutcome outcome()
{
    return {framework::RequestId("r1"),
            StageJobStatus::Overloaded,
            {{framework::StageResultId("1.2.3.4:5/x"), framework::AvailabilityZoneId("zb")}},
            framework::Milliseconds(120)};
}

} // namespace

namespace {

PeerPong pong()
{
    return {framework::TimePoint(7),
            false,
            framework::Milliseconds(90),
            {{StateTopic::Daemons, framework::LogOffset(3), framework::LogOffset(5),
              framework::Milliseconds(70), framework::Milliseconds(20), framework::Milliseconds(9),
              framework::StoreEra(2)},
             {StateTopic::Operators, framework::LogOffset(1), framework::LogOffset(1),
              framework::Milliseconds(0), std::nullopt, framework::Milliseconds(0)}}};
}

PeerPong pongWithFingerprint()
{
    PeerPong result = pong();
    result.crashFingerprint = EvidenceFingerprint(0xfedcba9876543210);
    return result;
}

CrashEvidence evidence()
{
    return {framework::PromptPartId(0xfedcba9876543210),
            framework::CrashId(3),
            framework::Milliseconds(450),
            framework::Milliseconds(20),
            true,
            false};
}

CrashReport crashReport(std::size_t entries)
{
    CrashReport report;
    report.isComplete = true;
    report.evidence.assign(entries, evidence());
    return report;
}

std::vector<ServerRateLimit> rateLimits(std::size_t entries)
{
    std::vector<ServerRateLimit> limits(entries,
                                        {framework::BackendServerId("i-1"),
                                         framework::RequestRate(1400),
                                         framework::Milliseconds(20)});
    limits.front().rate.reset();
    return limits;
}

PermitRequest permitRequest(std::size_t entries)
{
    return {5, rateLimits(entries), {{framework::BackendServerId("i-1"), 3}}, true};
}

ConnectionLeases connectionLeases(std::size_t entries)
{
    ConnectionLeases leases{7, true, {}};
    const ConnectionLease lease{
        {"10.0.0.1", 65535}, framework::ServiceId("plain"), 3, MaxLeasedConnections};
    leases.leases.assign(entries, lease);
    return leases;
}

PermitGrant permitGrant(std::size_t entries)
{
    return {5, rateLimits(entries), {{framework::BackendServerId("i-1"), 1}}};
}

PeerPong pongOfRolloutTaker()
{
    PeerPong result = pongWithFingerprint();
    result.takesRollouts = true;
    return result;
}

RolloutReport rolloutReport()
{
    RolloutEvidence evidence{framework::RouteId("read"), true, 200, 3, {}};
    evidence.times.front() = 4;
    evidence.times.back() = 300;
    RolloutServiceReport service;
    service.service = framework::ServiceId("desk");
    service.target = framework::SoftwareVersion("v2");
    service.order = {framework::StoreEra(2), framework::LogOffset(1000)};
    service.step = RolloutStep::FullLoad;
    service.elapsed = framework::Milliseconds(4000);
    service.atOldServers = 7;
    service.sent = 1000000;
    service.sentToTarget = 20;
    service.evidence = {evidence, {framework::RouteId("read"), false, 900, 0, {}}};
    RolloutServiceReport other = service;
    other.evidence.clear();
    return {0xfedcba9876543210, {service, other}};
}

RolloutSteps rolloutSteps()
{
    return {{{framework::ServiceId("desk"),
              framework::SoftwareVersion("v2"),
              {framework::StoreEra(2), framework::LogOffset(1000)},
              RolloutStep::RolledBack,
              framework::Milliseconds(4000)}}};
}

TopicState topicState()
{
    return {StateTopic::BackendServers,
            4,
            true,
            {{framework::LogOffset(7), std::string("k\0\xff", 3), "value"},
             {framework::LogOffset(8), "back", "value", std::nullopt, true},
             {framework::LogOffset(9), "gone", std::nullopt},
             {framework::LogOffset(10), "left", std::nullopt,
              RecordVersion{framework::Incarnation(1700000000000), framework::ReportNumber(3)}}},
            framework::LogOffset(11),
            framework::Milliseconds(350),
            framework::StoreEra(3)};
}

} // namespace

INSTANTIATE_TEST_SUITE_P(
    Protocol, PeerCodecTest,
    testing::Values(
        PeerMessage(PeerHello{framework::DaemonId("d1")}),
        PeerMessage(PeerPing{framework::TimePoint(7)}),
        PeerMessage(PeerPong{std::nullopt, true, framework::Milliseconds(90), {}}),
        PeerMessage(PeerHello{framework::DaemonId("d1"), true}), PeerMessage(pong()),
        PeerMessage(pongWithFingerprint()), PeerMessage(CrashReport{}),
        PeerMessage(crashReport(MaxReportedEvidence)), PeerMessage(job()),
        PeerMessage(StageJobCancel{framework::RequestId("r1")}), PeerMessage(outcome()),
        PeerMessage(StageResultRelease{{framework::StageResultId("1.2.3.4:5/x")}}),
        PeerMessage(StageHoldings{}),
        PeerMessage(StageHoldings{{{framework::BackendServerId("i-1"), framework::Bytes(5), 1}}}),
        PeerMessage(TopicQuery{StateTopic::Operators, 3, std::nullopt}),
        PeerMessage(TopicQuery{StateTopic::Daemons, 4, framework::LogOffset(5),
                               framework::StoreEra(2)}),
        PeerMessage(topicState()), PeerMessage(permitRequest(2)), PeerMessage(PermitRequest{}),
        PeerMessage(permitGrant(MaxRateLimitEntries)), PeerMessage(PermitGrant{}),
        PeerMessage(connectionLeases(MaxConnectionLeases)), PeerMessage(ConnectionLeases{}),
        PeerMessage(PeerHello{framework::DaemonId("d1"), false, true}),
        PeerMessage(PeerHello{framework::DaemonId("d1"), true, true, true}),
        PeerMessage(pongOfRolloutTaker()), PeerMessage(rolloutSteps()), PeerMessage(RolloutSteps{}),
        PeerMessage(rolloutReport()), PeerMessage(RolloutReport{})));

// A peer of a later or broken build must not make this one believe what makes no sense.
TEST(PeerCodecErrors, RolloutOutOfRange_DecodingFails)
{
    const auto codec = ProtocolModule::makePeerCodec();
    const auto isRefused = [&codec](const RolloutServiceReport &service) {
        return !codec->decode(codec->encode(RolloutReport{1, {service}}));
    };
    RolloutServiceReport service = rolloutReport().services.front();
    EXPECT_FALSE(isRefused(service));
    service.elapsed = framework::Milliseconds(-1);
    EXPECT_TRUE(isRefused(service));
    service = rolloutReport().services.front();
    service.step = static_cast<RolloutStep>(6);
    EXPECT_TRUE(isRefused(service));
    service = rolloutReport().services.front();
    service.evidence.resize(MaxRolloutEvidence + 1);
    EXPECT_TRUE(isRefused(service));
    EXPECT_TRUE(isRefused({}));
    const std::string whole = codec->encode(rolloutReport());
    for (std::size_t length = 3; length + 1 < whole.size(); ++length) {
        EXPECT_FALSE(codec->decode(whole.substr(0, length))) << length;
    }
}

TEST(PeerCodecErrors, RateLimitsOutOfRange_DecodingFails)
{
    const auto codec = ProtocolModule::makePeerCodec();
    EXPECT_FALSE(codec->decode(codec->encode(permitRequest(MaxRateLimitEntries + 1))));
    EXPECT_FALSE(codec->decode(codec->encode(permitGrant(MaxRateLimitEntries + 1))));
    const auto isRefused = [&codec](const ServerRateLimit &limit) {
        return !codec->decode(codec->encode(PermitGrant{1, {limit}, {}}));
    };
    const framework::BackendServerId server("i-1");
    EXPECT_FALSE(isRefused({server, framework::RequestRate(0), MaxRateLimitAge}));
    EXPECT_TRUE(isRefused({server, framework::RequestRate(-1), {}}));
    EXPECT_TRUE(isRefused({server, {}, framework::Milliseconds(-1)}));
    EXPECT_TRUE(isRefused({server, {}, MaxRateLimitAge + framework::Milliseconds(1)}));
    EXPECT_TRUE(isRefused({{}, {}, {}}));
    EXPECT_FALSE(codec->decode(codec->encode(PermitGrant{1, {}, {{server, MaxPermits + 1}}})));
}

TEST(PeerCodecErrors, MessageInvalid_DecodingFails)
{
    const auto codec = ProtocolModule::makePeerCodec();
    EXPECT_FALSE(codec->decode("\xff\xff\xff"));
    EXPECT_FALSE(codec->decode(""));
    StageJob withoutStages = job();
    withoutStages.stages.clear();
    EXPECT_FALSE(codec->decode(codec->encode(withoutStages)));
    TopicState negativeAge = topicState();
    negativeAge.age = framework::Milliseconds(-1);
    EXPECT_FALSE(codec->decode(codec->encode(negativeAge)));
    PeerPong negativeDigestAge = pong();
    negativeDigestAge.digests[0].age = framework::Milliseconds(-1);
    EXPECT_FALSE(codec->decode(codec->encode(negativeDigestAge)));
    EXPECT_FALSE(codec->decode(codec->encode(TopicQuery{static_cast<StateTopic>(9), 1, {}})));
}

TEST(PeerCodecErrors, CrashReportOutOfRange_DecodingFails)
{
    const auto codec = ProtocolModule::makePeerCodec();
    EXPECT_FALSE(codec->decode(codec->encode(crashReport(MaxReportedEvidence + 1))));
    const auto isRefused = [&codec](framework::Milliseconds attemptAge,
                                    framework::Milliseconds crashAge) {
        CrashReport report = crashReport(2);
        report.evidence[1].attemptAge = attemptAge;
        report.evidence[1].crashAge = crashAge;
        return !codec->decode(codec->encode(report));
    };
    constexpr framework::Milliseconds Step(1);
    EXPECT_FALSE(isRefused(MaxEvidenceAge, MaxEvidenceAge));
    EXPECT_TRUE(isRefused(MaxEvidenceAge + Step, Step));
    EXPECT_TRUE(isRefused(Step, Step + Step)) << "the crash came before the attempt";
    EXPECT_TRUE(isRefused(Step, Step - Step - Step));
}

TEST(PeerCodecErrors, EntryOfCrashReportMalformed_DecodingFails)
{
    const auto codec = ProtocolModule::makePeerCodec();
    const auto decodes = [&codec](const std::string &entry) {
        const std::string report = '\x0a' + std::string(1, static_cast<char>(entry.size())) + entry;
        return static_cast<bool>(codec->decode(
            "\x08\x01\x62" + std::string(1, static_cast<char>(report.size())) + report));
    };
    EXPECT_TRUE(decodes("\x0a\x08"
                        "12345678"));
    EXPECT_TRUE(decodes("\x0a\x10"
                        "1234567812345678"));
    EXPECT_FALSE(decodes("\x0a\x07"
                         "1234567"))
        << "half a part";
    EXPECT_FALSE(decodes("\x0a\x08"
                         "1234567"))
        << "the part ends early";
    EXPECT_FALSE(decodes("")) << "no part";
    EXPECT_FALSE(decodes("\xff"));
}

TEST(PeerCodecSize, PartsOfOneCrash_ShareItsFields)
{
    const auto codec = ProtocolModule::makePeerCodec();
    const std::size_t empty = codec->encode(crashReport(0)).size();
    constexpr std::size_t Entry = 8;
    constexpr std::size_t Shared = 30;
    EXPECT_LE(codec->encode(crashReport(MaxReportedEvidence)).size() - empty,
              MaxReportedEvidence * Entry + Shared);
    CrashReport mixed = crashReport(3);
    mixed.evidence[1].crash = framework::CrashId(4);
    mixed.evidence[2].isRefuted = true;
    const auto decoded = codec->decode(codec->encode(mixed));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(*decoded, PeerMessage(mixed));
}
