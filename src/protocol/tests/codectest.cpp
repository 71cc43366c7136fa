#include "protocol/iframereader.h"
#include "protocol/imessagecodec.h"
#include "protocol/protocolmodule.h"
#include "protocol/types/protocolerror.h"

#include <gtest/gtest.h>

#include <random>

using namespace lavendertally;
using namespace lavendertally::protocol;

namespace {

StageRequest sampleRequest()
{
    StageRequest request;
    request.sender = framework::DaemonId("entry-1");
    request.revision = framework::LogOffset(17);
    request.request = framework::RequestId("r-1");
    request.attempt = framework::AttemptId(3);
    request.team = framework::TeamId("rota-office");
    request.pipeline = framework::PipelineId("feed-plan");
    request.stage = framework::StageId("generate");
    request.service = framework::ServiceId("generator");
    request.priority = configuration::PriorityClass::Background;
    request.share = 4;
    request.budget = framework::Milliseconds(1200);
    request.maxTokens = framework::TokenCount(64);
    request.idempotent = false;
    request.stream = true;
    request.payload = R"({"input":{"text":"x"}})";
    return request;
}

StageResult sampleResult()
{
    StageResult result;
    result.attempt = framework::AttemptId(3);
    result.revision = framework::LogOffset(18);
    result.status = StageStatus::NotRun;
    result.reason = RefusalReason::Unreachable;
    result.detail = "refused";
    result.chunks = 5;
    result.payload = "{}";
    result.tokens = framework::TokenCount(9);
    result.serviceTime = framework::Milliseconds(80);
    result.cost = framework::MicroCost(1234);
    result.load = {2, 3, 8, true, framework::Milliseconds(40), framework::Incarnation(6)};
    return result;
}

StageResult sampleCrashResult()
{
    StageResult result;
    result.attempt = framework::AttemptId(4);
    result.status = StageStatus::Unknown;
    result.crash = framework::CrashId(0xfedcba9876543210);
    return result;
}

std::vector<CrashEvidence> sampleEvidence(std::size_t count)
{
    std::vector<CrashEvidence> all;
    for (std::size_t i = 0; i < count; ++i) {
        all.push_back({framework::PromptPartId(0xfedcba9876543210 + i), framework::CrashId(i),
                       framework::Milliseconds(900), framework::Milliseconds(800), i % 2 == 0,
                       i % 3 == 0});
    }
    return all;
}

std::vector<Message> sampleMessages()
{
    return {sampleRequest(),
            StageChunk{framework::AttemptId(3), 7, framework::TokenCount(1), "word "},
            sampleResult(),
            sampleCrashResult(),
            RevisionQuery{framework::DaemonId("host-1"), framework::LogOffset(4)},
            RevisionReply{framework::DaemonId("entry-1"),
                          framework::LogOffset(9),
                          "snapshot",
                          {{framework::LogOffset(8), "record"}}},
            RevisionQuery{framework::DaemonId("entry-2"), framework::LogOffset(4),
                          sampleEvidence(CrashEvidence::MaxInControlMessage), true},
            RevisionReply{framework::DaemonId("entry-1"),
                          framework::LogOffset(9),
                          "",
                          {},
                          sampleEvidence(CrashEvidence::MaxInControlMessage)},
            LoadQuery{framework::DaemonId("entry-1"), framework::LogOffset(2)},
            LoadReport{1, 2, 3, false, framework::Milliseconds(4), framework::Incarnation(5)}};
}

/// \return the error with which decoding fails, or nothing if it succeeds
std::optional<ProtocolError> decodeError(const std::string &bytes)
{
    return framework::leaf::try_handle_all(
        [&]() -> framework::Result<std::optional<ProtocolError>> {
            BOOST_LEAF_CHECK(ProtocolModule::makeCodec()->decode(bytes));
            return std::optional<ProtocolError>();
        },
        [](ProtocolError error) { return std::optional<ProtocolError>(error); },
        [] { return std::optional<ProtocolError>(ProtocolError::UnknownVersion); });
}

} // namespace

TEST(Codec, MessageEncodedAndDecoded_IsUnchanged)
{
    const auto codec = ProtocolModule::makeCodec();
    for (const Message &message : sampleMessages()) {
        const auto decoded = codec->decode(codec->encode(message));
        ASSERT_TRUE(decoded);
        EXPECT_TRUE(*decoded == message) << "message type " << message.index();
    }
}

TEST(Codec, ResultOfOldPeer_HasNoCrash)
{
    // Version 1, StageResult with attempt 3 and status 2, as daemons without the field send it.
    const std::string bytes("\x08\x01\x22\x04\x08\x03\x18\x02", 8);
    const auto decoded = ProtocolModule::makeCodec()->decode(bytes);
    ASSERT_TRUE(decoded);
    const auto *result = std::get_if<StageResult>(&*decoded);
    ASSERT_NE(result, nullptr);
    EXPECT_EQ(result->attempt, framework::AttemptId(3));
    EXPECT_EQ(result->status, StageStatus::Unknown);
    EXPECT_FALSE(result->crash.has_value());
}

TEST(Codec, TooMuchEvidence_MessageIsMalformed)
{
    const auto codec = ProtocolModule::makeCodec();
    const auto evidence = sampleEvidence(CrashEvidence::MaxInControlMessage + 1);
    const framework::DaemonId sender("entry-1");
    EXPECT_EQ(decodeError(codec->encode(RevisionQuery{sender, {}, evidence, true})),
              ProtocolError::Malformed);
    EXPECT_EQ(decodeError(codec->encode(RevisionReply{sender, {}, "", {}, evidence})),
              ProtocolError::Malformed);
}

TEST(Codec, CrashIdIsZero_IsStillACrash)
{
    StageResult result;
    result.crash = framework::CrashId(0);
    const auto codec = ProtocolModule::makeCodec();
    const auto decoded = codec->decode(codec->encode(result));
    ASSERT_TRUE(decoded);
    EXPECT_TRUE(*decoded == Message(result));
}

TEST(Codec, BytesAreNotAMessage_DecodingFailsWithReason)
{
    EXPECT_EQ(decodeError(""), ProtocolError::UnknownVersion);
    EXPECT_EQ(decodeError("\xff\xff\xff\xff"), ProtocolError::Malformed);
    EXPECT_EQ(decodeError(std::string("\x08\x01", 2)), ProtocolError::Malformed);
    EXPECT_EQ(decodeError(std::string("\x08\x09", 2)), ProtocolError::UnknownVersion);
}

TEST(Codec, MessageTruncatedOrCorrupted_DecodingDoesNotCrash)
{
    constexpr int CorruptionsPerMessage = 2000;
    const auto codec = ProtocolModule::makeCodec();
    std::mt19937 random(20261204);
    for (const Message &message : sampleMessages()) {
        const std::string bytes = codec->encode(message);
        for (int round = 0; round < CorruptionsPerMessage; ++round) {
            std::string corrupt = bytes.substr(0, random() % (bytes.size() + 1));
            if (!corrupt.empty()) {
                corrupt[random() % corrupt.size()] = static_cast<char>(random());
            }
            decodeError(corrupt);
        }
    }
}

TEST(FrameReader, BytesArriveOneByOne_FramesAreReassembled)
{
    const std::string stream = IFrameReader::frame("one") + IFrameReader::frame("")
        + IFrameReader::frame(std::string(1000, 'x'));
    const auto reader = ProtocolModule::makeFrameReader();
    std::vector<std::string> frames;
    for (const char byte : stream) {
        reader->append(std::string_view(&byte, 1));
        while (const auto frame = reader->next().value()) {
            frames.push_back(*frame);
        }
    }
    EXPECT_EQ(frames, (std::vector<std::string>{"one", "", std::string(1000, 'x')}));
}

TEST(FrameReader, LengthExceedsLimit_IsAnError)
{
    const auto reader = ProtocolModule::makeFrameReader();
    reader->append("\xff\xff\xff\xff");
    EXPECT_FALSE(reader->next());
}
