#include "framework/asyncerror.h"
#include "infrastructure/tests/fakelogharness.h"
#include "infrastructure/tests/httplogharness.h"
#include "infrastructure/types/firstkept.h"
#include "infrastructure/types/infrastructureerror.h"

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <tuple>

using namespace lavendertally;
using namespace lavendertally::infrastructure;

namespace {

constexpr framework::Milliseconds Timeout{150};
constexpr framework::Milliseconds NoWait{0};
const StreamName Stream{"contract"};

using MakeHarness = std::unique_ptr<LogHarness> (*)();

std::unique_ptr<LogHarness> makeHttp()
{
    return std::make_unique<HttpLogHarness>();
}

std::unique_ptr<LogHarness> makeFake()
{
    return std::make_unique<FakeLogHarness>();
}

/// Result of a call as a test compares it.
template <typename T>
struct Outcome
{
    std::optional<T> value;
    std::optional<InfrastructureError> error;
};

template <typename T>
Outcome<T> outcomeOf(framework::Result<T> result)
{
    if (result) {
        return {std::move(*result), std::nullopt};
    }
    return {std::nullopt, framework::errorOf(std::move(result), InfrastructureError::Unavailable)};
}

struct AppendCase
{
    const char *name;
    LogTrouble trouble;
    std::optional<InfrastructureError> error;
    std::size_t recordsAtEnd;
    std::size_t recordsAfterRecovery;
};

const AppendCase AppendCases[] = {
    {"None", LogTrouble::None, std::nullopt, 1, 1},
    {"Down", LogTrouble::Down, InfrastructureError::Unavailable, 0, 0},
    {"Slow", LogTrouble::Slow, std::nullopt, 1, 1},
    {"Frozen", LogTrouble::Frozen, InfrastructureError::AnswerLost, 0, 1},
    {"LostAnswer", LogTrouble::LostAnswer, InfrastructureError::AnswerLost, 1, 1},
    {"Doubled", LogTrouble::Doubled, std::nullopt, 2, 2},
    {"Lagging", LogTrouble::Lagging, std::nullopt, 1, 1},
    {"Truncated", LogTrouble::Truncated, InfrastructureError::MalformedAnswer, 1, 1},
    {"RateLimited", LogTrouble::RateLimited, InfrastructureError::RateLimited, 0, 0},
};

struct ReadCase
{
    const char *name;
    LogTrouble trouble;
    std::optional<InfrastructureError> error;
    std::size_t recordsRead;
};

const ReadCase ReadCases[] = {
    {"None", LogTrouble::None, std::nullopt, 3},
    {"Down", LogTrouble::Down, InfrastructureError::Unavailable, 0},
    {"Slow", LogTrouble::Slow, std::nullopt, 3},
    {"Frozen", LogTrouble::Frozen, InfrastructureError::TimedOut, 0},
    {"LostAnswer", LogTrouble::LostAnswer, InfrastructureError::Unavailable, 0},
    {"Doubled", LogTrouble::Doubled, InfrastructureError::MalformedAnswer, 0},
    {"Reordered", LogTrouble::Reordered, InfrastructureError::MalformedAnswer, 0},
    {"Lagging", LogTrouble::Lagging, std::nullopt, 2},
    {"Truncated", LogTrouble::Truncated, InfrastructureError::MalformedAnswer, 0},
};

} // namespace

class LogContract
{
protected:
    explicit LogContract(MakeHarness makeHarness) : m_harness(makeHarness()) { }

    Outcome<framework::LogOffset> append(const std::vector<std::string> &records)
    {
        Outcome<framework::LogOffset> outcome;
        m_harness->service().append(Stream, records, Timeout,
                                    [&](framework::Result<framework::LogOffset> result) {
                                        outcome = outcomeOf(std::move(result));
                                        m_harness->stop();
                                    });
        m_harness->run();
        return outcome;
    }

    Outcome<LogPage> read(std::uint64_t from, std::uint32_t limit = 10,
                          framework::Milliseconds wait = NoWait)
    {
        Outcome<LogPage> outcome;
        m_harness->service().read(Stream, framework::LogOffset(from), limit, wait, Timeout,
                                  [&](framework::Result<LogPage> result) {
                                      outcome = outcomeOf(std::move(result));
                                      m_harness->stop();
                                  });
        m_harness->run();
        return outcome;
    }

    std::unique_ptr<LogHarness> m_harness;
};

class LogAppendContract : public LogContract,
                          public testing::TestWithParam<std::tuple<MakeHarness, AppendCase>>
{
protected:
    LogAppendContract() : LogContract(std::get<MakeHarness>(GetParam())) { }
};

TEST_P(LogAppendContract, OutcomeTellsTheEffect)
{
    const AppendCase &fault = std::get<AppendCase>(GetParam());
    m_harness->setTrouble(fault.trouble);
    const auto outcome = append({"a"});
    EXPECT_EQ(outcome.error, fault.error);
    EXPECT_EQ(outcome.value.has_value(), !fault.error.has_value());
    EXPECT_EQ(m_harness->records(Stream).size(), fault.recordsAtEnd);
    m_harness->setTrouble(LogTrouble::None);
    EXPECT_EQ(m_harness->records(Stream).size(), fault.recordsAfterRecovery);
    const bool tookEffect = fault.recordsAfterRecovery > 0;
    EXPECT_TRUE(!tookEffect || !fault.error || mayHaveTakenEffect(*fault.error));
    EXPECT_EQ(append({"b"}).value, framework::LogOffset(fault.recordsAfterRecovery));
}

class LogReadContract : public LogContract,
                        public testing::TestWithParam<std::tuple<MakeHarness, ReadCase>>
{
protected:
    LogReadContract() : LogContract(std::get<MakeHarness>(GetParam())) { }
};

TEST_P(LogReadContract, PageIsWholeAndInOrderOrThereIsAnError)
{
    const ReadCase &fault = std::get<ReadCase>(GetParam());
    append({"a", "b"});
    // A lagging replica keeps the state of the moment when the fault begins.
    const bool lags = fault.trouble == LogTrouble::Lagging;
    m_harness->setTrouble(lags ? fault.trouble : LogTrouble::None);
    append({"c"});
    if (!lags) {
        m_harness->setTrouble(fault.trouble);
    }
    const auto outcome = read(0);
    EXPECT_EQ(outcome.error, fault.error);
    ASSERT_EQ(outcome.value.has_value(), !fault.error.has_value());
    if (outcome.value) {
        EXPECT_EQ(outcome.value->records.size(), fault.recordsRead);
        EXPECT_EQ(outcome.value->next, framework::LogOffset(fault.recordsRead));
        EXPECT_EQ(outcome.value->end, framework::LogOffset(fault.recordsRead));
    }
    m_harness->setTrouble(LogTrouble::None);
    ASSERT_TRUE(read(0).value);
    EXPECT_EQ(read(0).value->records.size(), 3U);
}

class LogServiceContract : public LogContract, public testing::TestWithParam<MakeHarness>
{
protected:
    LogServiceContract() : LogContract(GetParam()) { }
};

TEST_P(LogServiceContract, ExpiredReadTellsTheFirstRecordKept)
{
    append({"a", "b", "c"});
    m_harness->expireUpTo(Stream, framework::LogOffset(2));
    std::optional<framework::LogOffset> first;
    m_harness->service().read(
        Stream, framework::LogOffset(0), 10, NoWait, Timeout,
        [&](framework::Result<LogPage> result) {
            framework::leaf::try_handle_all(
                [&]() -> framework::Result<void> {
                    BOOST_LEAF_CHECK(std::move(result));
                    return {};
                },
                [&](InfrastructureError /*error*/, FirstKept kept) { first = kept.offset; }, [] {});
            m_harness->stop();
        });
    m_harness->run();
    EXPECT_EQ(first, framework::LogOffset(2));
    EXPECT_EQ(read(2).value->first, framework::LogOffset(2));
}

TEST_P(LogServiceContract, OvertakenAppendGetsTheOffsetOfItsOwnRecord)
{
    std::map<std::string, framework::LogOffset> offsets;
    m_harness->setTrouble(LogTrouble::Reordered);
    for (const char *record : {"a", "b"}) {
        m_harness->service().append(Stream, {record}, Timeout,
                                    [&, record](const framework::Result<framework::LogOffset> &at) {
                                        ASSERT_TRUE(at);
                                        offsets[record] = *at;
                                        if (offsets.size() == 2) {
                                            m_harness->stop();
                                        }
                                    });
    }
    m_harness->run();
    const auto records = m_harness->records(Stream);
    ASSERT_EQ(records.size(), 2U);
    ASSERT_EQ(offsets.size(), 2U);
    EXPECT_EQ(records[offsets["a"].value()], "a");
    EXPECT_EQ(records[offsets["b"].value()], "b");
}

TEST_P(LogServiceContract, WaitingReadHearsOfTheNextAppend)
{
    std::size_t read = 0;
    m_harness->service().read(Stream, framework::LogOffset(0), 10, Timeout, Timeout + Timeout,
                              [&](const framework::Result<LogPage> &page) {
                                  read = page ? page->records.size() : 0;
                                  m_harness->stop();
                              });
    m_harness->service().append(Stream, {"a"}, Timeout, [](const auto & /*result*/) {});
    m_harness->run();
    EXPECT_EQ(read, 1U);
}

TEST_P(LogServiceContract, WaitingReadOfAnEmptyStreamEndsAsAnEmptyPage)
{
    const auto outcome = read(0, 10, framework::Milliseconds(20));
    ASSERT_TRUE(outcome.value);
    EXPECT_TRUE(outcome.value->records.empty());
    EXPECT_EQ(outcome.value->next, framework::LogOffset(0));
}

TEST_P(LogServiceContract, WaitingReadWhoseRecordsExpireEndsAsExpired)
{
    Outcome<LogPage> outcome;
    m_harness->setTrouble(LogTrouble::Lagging);
    m_harness->service().read(Stream, framework::LogOffset(0), 10, framework::Milliseconds(50),
                              Timeout, [&](framework::Result<LogPage> result) {
                                  outcome = outcomeOf(std::move(result));
                                  m_harness->stop();
                              });
    append({"a", "b"});
    m_harness->expireUpTo(Stream, framework::LogOffset(1));
    m_harness->run();
    EXPECT_EQ(outcome.error, InfrastructureError::Expired);
}

TEST_P(LogServiceContract, PageKeepsToItsLimit)
{
    append({"a", "b", "c"});
    EXPECT_EQ(read(0, 2).value->next, framework::LogOffset(2));
    EXPECT_EQ(read(2, 2).value->records.front().data, "c");
}

TEST_P(LogServiceContract, NoCallbackComesAfterTheServiceIsGone)
{
    bool called = false;
    m_harness->service().append(Stream, {"a"}, Timeout, [&](const auto &) { called = true; });
    m_harness->service().read(Stream, framework::LogOffset(0), 10, NoWait, Timeout,
                              [&](const auto &) { called = true; });
    m_harness->drop();
    m_harness->settle();
    EXPECT_FALSE(called);
}

TEST_P(LogServiceContract, CallbackMayDestroyTheService)
{
    m_harness->service().append(Stream, {"a"}, Timeout, [&](const auto & /*result*/) {
        m_harness->drop();
        m_harness->stop();
    });
    m_harness->run();
    EXPECT_EQ(m_harness->records(Stream).size(), 1U);
}

namespace {

const auto Implementations = testing::Values(&makeHttp, &makeFake);

template <typename Case>
std::string caseName(const testing::TestParamInfo<std::tuple<MakeHarness, Case>> &info)
{
    const auto &[make, fault] = info.param;
    return std::string(make == &makeHttp ? "Http" : "Fake") + fault.name;
}

} // namespace

INSTANTIATE_TEST_SUITE_P(Both, LogAppendContract,
                         testing::Combine(Implementations, testing::ValuesIn(AppendCases)),
                         caseName<AppendCase>);
INSTANTIATE_TEST_SUITE_P(Both, LogReadContract,
                         testing::Combine(Implementations, testing::ValuesIn(ReadCases)),
                         caseName<ReadCase>);
INSTANTIATE_TEST_SUITE_P(Both, LogServiceContract, Implementations,
                         [](const testing::TestParamInfo<MakeHarness> &info) {
                             return info.param == &makeHttp ? "Http" : "Fake";
                         });
