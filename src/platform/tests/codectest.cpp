#include "framework/types/errorcontext.h"
#include "http/headerlookup.h"
#include "http/types/httprequesthead.h"
#include "http/types/httpresponse.h"
#include "http/types/httpresponsehead.h"
#include "platform/internal/answercodec.h"
#include "platform/internal/backendservercodec.h"
#include "platform/internal/clientrequestcodec.h"
#include "platform/internal/configurationcodec.h"
#include "platform/internal/eventstreamreader.h"
#include "platform/internal/stagecodec.h"
#include "platform/internal/storecodec.h"
#include "serving/types/servingconfiguration.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace lavendertally;
using namespace lavendertally::platform;

namespace {

const char *Configuration = R"({"version":7,"routes":[
 {"name":"r1","hostname":"h1","pathPrefix":"/a/","routeKind":"streaming","timeoutMs":12000,
  "targetLatencyMs":1900,"priority":1,"trafficSplit":[{"service":"m","weight":90},
  {"service":"n","weight":10}],"maxAttempts":2,"stages":[{"service":"p","after":[],"bytes":8000},
  {"service":"p","after":[0],"bytes":60000}],"public":false,"sessionAffinity":true,
  "streamResume":true,"targetGapMs":300},
 {"name":"r2","hostname":"h1","pathPrefix":"/b/","routeKind":"non_idempotent","timeoutMs":600,
  "service":"n","public":true,"unknown":1}],
 "services":[{"name":"m","healthPath":"/z","maxConnections":280,"coldPerS":23.0,
  "engineKind":{"slots":64}},{"name":"n","maxConnections":5},
  {"name":"p","pieces":{"slots":1,"queueLimit":2,"batchSize":10,"callMs":240.0,"itemMs":4.5,
  "headroomMb":12.0,"handleS":4.0,"linkMbps":10000}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
  "idleTimeoutMs":15000},
 "tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":0}]})";

http::HttpRequestHead head(const http::HttpHeaders &headers)
{
    return {"POST", "/a/b?c=d", headers};
}

std::string record(const std::string &key, const std::string &value)
{
    return encodeRecord({{}, key, value.empty() ? std::nullopt : std::optional(value)});
}

} // namespace

TEST(ConfigurationCodecTest, EveryFieldHasItsMeaning)
{
    const auto decoded = decodeConfiguration(Configuration);
    ASSERT_TRUE(decoded);
    const serving::ServingConfiguration &configuration = **decoded;
    EXPECT_EQ(configuration.version().value(), 7U);
    const serving::Route *route = configuration.findRoute("h1", "/a/x");
    ASSERT_NE(route, nullptr);
    EXPECT_EQ(route->kind, serving::RouteKind::Streaming);
    EXPECT_EQ(route->latencyObjective, framework::Milliseconds(1900));
    EXPECT_EQ(route->split.size(), 2U);
    EXPECT_EQ(route->stages[1].after, (std::vector<std::size_t>{0}));
    EXPECT_EQ(route->stages[1].resultSize, framework::Bytes(60000));
    EXPECT_TRUE(route->resumable);
    EXPECT_TRUE(route->promptAffinity);
    const serving::Route *plain = configuration.findRoute("h1", "/b/");
    EXPECT_TRUE(plain->isPublic);
    EXPECT_EQ(plain->split.front().service.value(), "n");
    const auto &pool = configuration.findService(framework::ServiceId("p"))->stagePool;
    ASSERT_TRUE(pool);
    EXPECT_EQ(pool->pieceTime, framework::Microseconds(4500));
    EXPECT_EQ(pool->resultCapacity, framework::Bytes(12000000));
    EXPECT_EQ(pool->batchTime(10), framework::Milliseconds(285));
    EXPECT_TRUE(configuration.findService(framework::ServiceId("m"))->isModelEngine);
    EXPECT_EQ(configuration.findTeam(framework::ApiKey("k2"))->priority,
              framework::PriorityRank(0));
}

class BadConfigurationTest : public testing::TestWithParam<std::pair<const char *, const char *>>
{ };

TEST_P(BadConfigurationTest, ProblemIsNamed)
{
    nlohmann::json json = nlohmann::json::parse(Configuration);
    json.merge_patch(nlohmann::json::parse(GetParam().first));
    std::string problem;
    framework::leaf::try_handle_all(
        [&]() -> framework::Result<void> {
            BOOST_LEAF_CHECK(decodeConfiguration(json.dump()));
            return {};
        },
        [&](const framework::ErrorContext &context) { problem = context.message; }, [] {});
    EXPECT_NE(problem.find(GetParam().second), std::string::npos) << problem;
}

INSTANTIATE_TEST_SUITE_P(
    Platform, BadConfigurationTest,
    testing::Values(std::pair(R"({"version":"7"})", "version"),
                    std::pair(R"({"routes":3})", "routes"),
                    std::pair(R"({"routes":[{"name":"r"}]})", "hostname"),
                    std::pair(R"({"services":[{"maxConnections":1}]})", "name"),
                    std::pair(R"({"tenants":[{"name":"t","apiKeys":"k"}]})", "apiKeys"),
                    std::pair(R"({"limits":{"maxBodyBytes":"x"}})", "maxBodyBytes")));

TEST(ConfigurationCodecTest, TextThatIsNoJsonIsRefused)
{
    EXPECT_FALSE(decodeConfiguration("{"));
    EXPECT_FALSE(decodeConfiguration("[]"));
}

TEST(BackendServerCodecTest, EntryIsRead)
{
    const auto entry = decodeBackendServer(
        "i-1",
        R"({"service":"m","address":"10.0.0.9:8080","zone":"za","slots":64,"state":"draining",
            "coldRemainingMs":500,"born":1700000000000,"sequence":4})",
        framework::TimePoint(1000));
    ASSERT_TRUE(entry);
    EXPECT_EQ(entry->endpoint, (framework::Endpoint{"10.0.0.9", 8080}));
    EXPECT_EQ(entry->state, membership::BackendServerState::Draining);
    EXPECT_EQ(entry->coldUntil, framework::TimePoint(1500));
}

class BadEntryTest : public testing::TestWithParam<const char *>
{ };

TEST_P(BadEntryTest, NamesNoServer)
{
    EXPECT_FALSE(decodeBackendServer("i-1", GetParam(), framework::TimePoint(0)));
}

INSTANTIATE_TEST_SUITE_P(
    Platform, BadEntryTest,
    testing::Values(
        "", "\xff\xfe", "[]", R"({"service":"m"})",
        R"({"service":5,"address":"1.1.1.1:1","zone":"z","slots":1,"state":"ready"})",
        R"({"service":"m","address":"nowhere","zone":"z","slots":1,"state":"ready"})",
        R"({"service":"m","address":"1.1.1.1:1","zone":"z","slots":1,"state":"odd"})",
        R"({"service":"m","address":"1.1.1.1:0","zone":"z","slots":1,"state":"ready"})",
        R"({"service":"m","address":"1.1.1.1:1","zone":"z","slots":"1","state":"ready"})"));

TEST(ClientRequestCodecTest, FieldsOfOursNeverPassFromTheClient)
{
    const auto request = decodeClientRequest(head({{"Host", "h1:80"},
                                                   {"X-Lavendertally-Request-Id", "r"},
                                                   {"Api-Key", "k"},
                                                   {"X-Lavendertally-Deadline-Ms", "900"},
                                                   {"x-lavendertally-tenant", "forged"},
                                                   {"X-Lavendertally-Expect-Instance", "forged"},
                                                   {"X-Lavendertally-Kv-Hold", "1"},
                                                   {"X-Lavendertally-Pin-Ms", "1"},
                                                   {"X-Lavendertally-Kv-Backup", "1.1.1.1:1"},
                                                   {"Kv-From", "1.1.1.1:1/x"},
                                                   {"Kv-Fetch", "1.1.1.1:1"},
                                                   {"X-Lavendertally-Inputs", "forged"},
                                                   {"X-Lavendertally-Request-Urgency", "0"},
                                                   {"Connection", "X-Private, close"},
                                                   {"X-Private", "1"},
                                                   {"Accept", "all"}}),
                                             "body");
    ASSERT_TRUE(request);
    EXPECT_EQ(request->hostName, "h1");
    EXPECT_EQ(request->path, "/a/b");
    EXPECT_EQ(request->target, "/a/b?c=d");
    EXPECT_EQ(request->key.value(), "k");
    EXPECT_EQ(request->timeLeft, framework::Milliseconds(900));
    std::vector<std::string> names;
    for (const auto &[name, value] : request->headers) {
        names.push_back(name);
    }
    EXPECT_EQ(names, (std::vector<std::string>{"Host", "X-Lavendertally-Request-Id", "Accept"}));
}

TEST(ClientRequestCodecTest, PromptAndPiecesAreRead)
{
    const http::HttpHeaders common = {{"Host", "h"},
                                      {"X-Lavendertally-Request-Id", "r"},
                                      {"X-Lavendertally-Token-Count", "1460,80"},
                                      {"X-Lavendertally-Pieces", "1,0, 4"},
                                      {"X-Lavendertally-Piece-Key", "in"}};
    http::HttpHeaders first = common;
    first.emplace_back("X-Lavendertally-Prompt-Prefix", "5c:800,91:410,e4:250");
    http::HttpHeaders second = common;
    second.emplace_back("X-Lavendertally-Prompt-Prefix", "5c:800,91:410,aa:7");
    http::HttpHeaders third = common;
    third.emplace_back("X-Lavendertally-Prompt-Prefix", "5c:800,92:410,e4:250");
    const auto one = decodeClientRequest(head(first), {});
    ASSERT_TRUE(one);
    EXPECT_EQ(one->promptTokens, framework::TokenCount(1460));
    EXPECT_EQ(one->pieces, (std::vector<std::uint32_t>{1, 0, 4}));
    EXPECT_EQ(one->stageInput.value(), "in");
    EXPECT_EQ(one->promptPrefixHash, decodeClientRequest(head(second), {})->promptPrefixHash);
    EXPECT_NE(one->promptPrefixHash, decodeClientRequest(head(third), {})->promptPrefixHash);
}

/// Sizes of parts and the length hint steer the choice of a server; unreadable ones must not turn a
/// request away.
TEST(ClientRequestCodecTest, PartSizesAndLengthHintAreRead)
{
    const auto decode = [](const char *prefix, const char *hint) {
        return decodeClientRequest(head({{"Host", "h"},
                                         {"X-Lavendertally-Request-Id", "r"},
                                         {"X-Lavendertally-Prompt-Prefix", prefix},
                                         {"X-Lavendertally-Length-Hint", hint}}),
                                   {});
    };
    const auto request = decode("5c:800, 91: 410 ,e4:250", "96");
    ASSERT_TRUE(request);
    ASSERT_EQ(request->promptParts.size(), 3U);
    EXPECT_EQ(request->promptParts[1].tokens, framework::TokenCount(410));
    EXPECT_EQ(request->promptParts[1].id, request->sharedPromptParts[1]);
    EXPECT_EQ(request->lengthHint, framework::TokenCount(96));
    for (const char *prefix : {"5c:800,91,e4:250", "5c:800,91:x,e4:250", "5c:-1,91:5"}) {
        const auto unsized = decode(prefix, "about 90");
        ASSERT_TRUE(unsized) << prefix;
        EXPECT_TRUE(unsized->promptParts.empty()) << prefix;
        EXPECT_FALSE(unsized->sharedPromptParts.empty()) << prefix;
        EXPECT_FALSE(unsized->lengthHint);
    }
}

class BadRequestTest : public testing::TestWithParam<http::HttpHeaders>
{ };

TEST_P(BadRequestTest, IsRefused)
{
    EXPECT_FALSE(decodeClientRequest(head(GetParam()), {}));
}

INSTANTIATE_TEST_SUITE_P(Platform, BadRequestTest,
                         testing::Values(http::HttpHeaders{{"Host", "h"}},
                                         http::HttpHeaders{{"X-Lavendertally-Request-Id", "r"},
                                                           {"X-Lavendertally-Deadline-Ms", "-1"}},
                                         http::HttpHeaders{{"X-Lavendertally-Request-Id", "r"},
                                                           {"X-Lavendertally-Token-Count", "12"}},
                                         http::HttpHeaders{{"X-Lavendertally-Request-Id", "r"},
                                                           {"X-Lavendertally-Pieces", "1,x"}},
                                         http::HttpHeaders{{"X-Lavendertally-Request-Id", "r"},
                                                           {"Last-Event-Id", "abc"}}));

TEST(AnswerCodecTest, MeaningOfAnAnswersHead)
{
    http::HttpResponseHead response{200,
                                    {{"X-Lavendertally-Response-Signature", "s"},
                                     {"Content-Type", "text/event-stream; charset=utf-8"},
                                     {"X-Lavendertally-Server-Load", "3,1,8"},
                                     {"Transfer-Encoding", "chunked"}},
                                    true};
    const proxy::ResponseHead answer = decodeAnswerHead(response);
    EXPECT_TRUE(answer.isSigned);
    EXPECT_TRUE(answer.isEventStream);
    EXPECT_FALSE(answer.notExecuted);
    EXPECT_FALSE(answer.endsWithConnection);
    ASSERT_TRUE(answer.load);
    EXPECT_EQ(answer.load->slots, 8U);
    EXPECT_EQ(answer.headers.size(), 3U);
    response.framed = false;
    EXPECT_TRUE(decodeAnswerHead(response).endsWithConnection);
    response.status = 421;
    EXPECT_TRUE(decodeAnswerHead(response).notExecuted);
    EXPECT_FALSE(decodeServerLoad("3,1"));
    EXPECT_FALSE(decodeServerLoad("a,b,c"));
    EXPECT_FALSE(decodeServerLoad("3;1;8"));
}

/// Servers of older sites send three figures; a fourth that cannot be read must not lose them.
TEST(AnswerCodecTest, FourthFigureOfTheLoad_IsReadIfItIsThere)
{
    EXPECT_EQ(decodeServerLoad("3,1,8,250")->workTimePercent, 250U);
    for (const char *text : {"3,1,8", "3,1,8,", "3,1,8,x", "3,1,8,0"}) {
        const auto load = decodeServerLoad(text);
        ASSERT_TRUE(load) << text;
        EXPECT_EQ(load->slots, 8U) << text;
        EXPECT_FALSE(load->workTimePercent) << text;
    }
}

TEST(AnswerHeadTest, WorkerTurnsAwayWithRetryAfter_IsRead)
{
    const auto timeIn = [](int status, const char *text) {
        return decodeAnswerHead({status, {{"Retry-After", text}}, true}).retryAfter;
    };
    EXPECT_EQ(timeIn(503, "2"), framework::Milliseconds(2000));
    EXPECT_EQ(timeIn(503, "0.25"), framework::Milliseconds(250));
    EXPECT_EQ(timeIn(503, "1e300"), framework::Milliseconds(3600000));
    EXPECT_FALSE(timeIn(200, "2"));
    for (const char *text : {"", "-1", "nan", "soon", "2 s"}) {
        EXPECT_FALSE(timeIn(503, text)) << text;
    }
}

TEST(AnswerHeadTest, WorkerNamesRateLimit_IsReadAndPassedOn)
{
    const auto rateIn = [](const char *text) {
        const http::HttpResponseHead head{200, {{"Server-Limit", text}}, true};
        EXPECT_EQ(decodeAnswerHead(head).headers.size(), 1U);
        return decodeAnswerHead(head).rateLimit;
    };
    EXPECT_EQ(rateIn("1.4"), framework::RequestRate(1400));
    EXPECT_EQ(rateIn("22"), framework::RequestRate(22000));
    EXPECT_EQ(rateIn("0"), framework::RequestRate(0));
    EXPECT_EQ(rateIn("1e300"), framework::RequestRate(1000000000));
    for (const char *text : {"", "-1", "nan", "inf more", "1.4/s", "many"}) {
        EXPECT_FALSE(rateIn(text)) << text;
    }
}

TEST(StageReportTest, FreeStorageIsReadAndBadReportsAreNot)
{
    http::HttpResponse response;
    response.end = http::HttpEnd::Complete;
    response.status = 200;
    response.body = R"({"waiting":0,"busy":false,"freeMb":2.5})";
    EXPECT_EQ(decodeFreeStorage(response), framework::Bytes(2500000));
    response.body = R"({"freeMb":2})";
    EXPECT_EQ(decodeFreeStorage(response), framework::Bytes(3000000)) << "rounded down";
    response.body = R"({"freeMb":"many"})";
    EXPECT_FALSE(decodeFreeStorage(response));
    response.body = "{";
    EXPECT_FALSE(decodeFreeStorage(response));
    response.body = R"({"freeMb":2})";
    response.status = 421;
    EXPECT_FALSE(decodeFreeStorage(response));
}

TEST(EventStreamReaderTest, EventNeverEnds_IsFoundTooLong)
{
    EventStreamReader reader;
    reader.append("id: 1\ndata: ");
    constexpr int Pieces = 300;
    for (int piece = 0; piece < Pieces && !reader.isEventTooLong(); ++piece) {
        reader.append(std::string(1024, 'a'));
        EXPECT_FALSE(reader.next());
    }
    EXPECT_TRUE(reader.isEventTooLong());
}

// Guards against text that is no event and is passed on without end.
TEST(EventStreamReaderTest, TextWithoutEvents_IsFoundWithinABound)
{
    EventStreamReader reader;
    reader.append("id: 1\ndata: a\n\n");
    EXPECT_TRUE(reader.next());
    constexpr std::size_t Limit = 256 * 1024;
    std::size_t size = 0;
    while (!reader.isWithoutEvents() && size < Limit) {
        reader.append(std::string(1000, 'z') + "\n\n");
        size += 1002;
        reader.next();
    }
    EXPECT_LT(size, Limit);
}

TEST(EventStreamReaderTest, CommentsBetweenEvents_AreAllowedForEver)
{
    EventStreamReader reader;
    constexpr int Rounds = 100;
    for (int round = 0; round < Rounds; ++round) {
        for (int comment = 0; comment < Rounds; ++comment) {
            reader.append(": still here\n\n");
        }
        reader.append("data: a\n\n");
        while (reader.next()) {
            EXPECT_FALSE(reader.isWithoutEvents());
        }
    }
}

TEST(EventStreamReaderTest, ManyWholeEvents_AreNotTooLong)
{
    EventStreamReader reader;
    constexpr int Events = 3000;
    for (int event = 0; event < Events; ++event) {
        reader.append("data: " + std::string(1024, 'a') + "\n\n");
        EXPECT_TRUE(reader.next());
    }
    EXPECT_FALSE(reader.isEventTooLong());
}

TEST(EventStreamReaderTest, EventsAreCutOutWholeWhateverThePieces)
{
    const std::string text =
        "id: 1\ndata: a\n\nx-weight-versions: 3\nid: 2\ndata: b\r\n\r\nid: 3\nda";
    EventStreamReader reader;
    std::vector<proxy::StreamEvent> events;
    for (const char character : text) {
        reader.append(std::string_view(&character, 1));
        while (const auto event = reader.next()) {
            events.push_back(*event);
        }
    }
    ASSERT_EQ(events.size(), 2U);
    EXPECT_EQ(events[0].text, "id: 1\ndata: a\n\n");
    EXPECT_EQ(events[1].id, framework::StreamEventId(2));
    EXPECT_TRUE(reader.hasPartialEvent());
}

TEST(StageCodecTest, OrdersNameEitherInputOrResults)
{
    stages::PieceRequest first;
    first.request = framework::RequestId("r");
    first.piece = 2;
    first.timeLeft = framework::Milliseconds(900);
    first.input = framework::StageInputId("key");
    stages::PieceRequest second = first;
    second.stage = 1;
    second.inputs = {framework::StageResultId("1.1.1.1:1/x")};
    const auto json = nlohmann::json::parse(encodePieceOrders({first, second}).value());
    EXPECT_EQ(json["items"][0]["key"], "key");
    EXPECT_FALSE(json["items"][0].contains("inputs"));
    EXPECT_EQ(json["items"][1]["inputs"][0], "1.1.1.1:1/x");
    EXPECT_FALSE(json["items"][1].contains("key"));
    EXPECT_EQ(json["items"][1]["remainingMs"], 900);
}

// Guards against a piece that is sent with an empty handle in place of an input.
TEST(StageCodecTest, InputIsMissing_OrdersAreNotEncoded)
{
    stages::PieceRequest piece;
    piece.request = framework::RequestId("r");
    piece.stage = 1;
    piece.inputs = {framework::StageResultId("1.1.1.1:1/x"), framework::StageResultId()};
    EXPECT_FALSE(encodePieceOrders({piece}));
}

TEST(StageCodecTest, HandleIsEmpty_PieceHasFailed)
{
    http::HttpResponse response;
    response.end = http::HttpEnd::Complete;
    response.status = 200;
    response.body = R"({"items":[{"handleId":""}]})";
    const auto outcome = decodeStageAnswer(response, 1);
    ASSERT_EQ(outcome.pieces.size(), 1U);
    EXPECT_EQ(outcome.pieces[0].status, stages::PieceStatus::Error);
}

TEST(StageCodecTest, AnswersAreReadPieceByPiece)
{
    http::HttpResponse response;
    response.end = http::HttpEnd::Complete;
    response.status = 200;
    response.body = R"({"items":[{"handleId":"1.1.1.1:1/x"},{"reason":"gone"},{"reason":"room"},
                        {"reason":"late"},{"reason":"odd"},7]})";
    const auto outcome = decodeStageAnswer(response, 6);
    EXPECT_EQ(outcome.status, stages::StageCallStatus::Answered);
    ASSERT_EQ(outcome.pieces.size(), 6U);
    EXPECT_EQ(outcome.pieces[0].result.value(), "1.1.1.1:1/x");
    EXPECT_EQ(outcome.pieces[1].status, stages::PieceStatus::InputMissing);
    EXPECT_EQ(outcome.pieces[2].status, stages::PieceStatus::StorageFull);
    EXPECT_EQ(outcome.pieces[3].status, stages::PieceStatus::DeadlineExceeded);
    EXPECT_EQ(outcome.pieces[4].status, stages::PieceStatus::Error);
    EXPECT_EQ(outcome.pieces[5].status, stages::PieceStatus::Error);
    response.body = "nonsense";
    EXPECT_EQ(decodeStageAnswer(response, 1).status, stages::StageCallStatus::Unknown);
    response.status = 503;
    response.headers = {{"X-Lavendertally-Not-Executed", "1"}};
    EXPECT_EQ(decodeStageAnswer(response, 1).status, stages::StageCallStatus::NotRun);
}

TEST(StoreCodecTest, RecordsAreCutOutOfALogRead)
{
    const std::string offsets(16, '\0');
    const auto changes =
        decodeChanges(offsets + record("a", "1") + record("b", ""), framework::LogOffset(40));
    ASSERT_TRUE(changes);
    EXPECT_EQ(changes->next.value(), 42U);
    ASSERT_EQ(changes->records.size(), 2U);
    EXPECT_EQ(changes->records[0].key, "a");
    EXPECT_EQ(changes->records[0].value, "1");
    EXPECT_FALSE(changes->records[1].value);
}

TEST(StoreCodecTest, RecordThatMakesNoSenseHidesNoOther)
{
    const std::string offsets(16, '\0');
    const std::string odd("\x00\x00\x00\x02\x09z", 6);
    const auto changes = decodeChanges(offsets + odd + record("b", "2"), framework::LogOffset(0));
    ASSERT_TRUE(changes);
    ASSERT_EQ(changes->records.size(), 2U);
    EXPECT_EQ(changes->records[0].key, "");
    EXPECT_EQ(changes->records[1].value, "2");
    EXPECT_FALSE(decodeChanges(offsets + std::string(2, '\0'), framework::LogOffset(0)));
    EXPECT_FALSE(decodeChanges("short", framework::LogOffset(0)));
}

TEST(StoreCodecTest, PageOfNewestRecordsIsRead)
{
    const auto page = decodePage(
        R"({"items":[{"key":"config","value":"YWI=","offset":4},{"key":"x","value":"!!","offset":5}],
            "hasMore":true,"endOffset":6})");
    ASSERT_TRUE(page);
    EXPECT_EQ(page->end.value(), 6U);
    EXPECT_TRUE(page->hasMore);
    EXPECT_EQ(page->records[0].value, "ab");
    EXPECT_EQ(page->records[1].value, "");
    EXPECT_FALSE(decodePage("{}"));
}
