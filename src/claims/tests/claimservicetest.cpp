#include "claims/tests/claimsentry.h"
#include "infrastructure/testing/fakelogfault.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <iostream>
#include <optional>
#include <utility>
#include <vector>

using namespace lavendertally::claims;
using namespace lavendertally::framework;
using lavendertally::infrastructure::FakeLog;
using lavendertally::infrastructure::FakeLogFault;
using lavendertally::infrastructure::InfrastructureError;
using lavendertally::infrastructure::StreamName;

namespace {

ClaimSettings oneStream()
{
    ClaimSettings settings;
    settings.partitions = 1;
    return settings;
}

class Claims : public testing::Test
{
protected:
    static constexpr Milliseconds ClaimTime{500};

    void advance(Milliseconds step)
    {
        for (ClaimsEntry &entry : m_entries) {
            entry.advance(step);
        }
    }

    void startClaim(ClaimsEntry &entry)
    {
        m_answer.reset();
        entry.service().claim({m_key, m_issuedAt, entry.clock().now() + ClaimTime},
                              [this](const ClaimAnswer &answer) {
                                  EXPECT_FALSE(m_answer) << "answered twice";
                                  m_answer = answer;
                              });
    }

    ClaimOutcome claim(ClaimsEntry &entry)
    {
        startClaim(entry);
        advance(ClaimTime + Milliseconds(1));
        EXPECT_TRUE(m_answer);
        return m_answer.value_or(ClaimAnswer()).outcome;
    }

    const StreamName m_stream{"claims.00"};
    const ClaimKey m_key{TeamId("caddo"), RequestId("r1"), StageId("credit")};
    const ClaimSettings m_settings = oneStream();
    FakeLog m_log;
    std::array<ClaimsEntry, 2> m_entries = {ClaimsEntry("e1", m_log, m_settings, 1),
                                            ClaimsEntry("e2", m_log, m_settings, 2)};
    ClaimsEntry &m_first = m_entries[0];
    ClaimsEntry &m_second = m_entries[1];
    TimePoint m_issuedAt = m_first.clock().wallNow();
    std::optional<ClaimAnswer> m_answer;
};

} // namespace

TEST_F(Claims, KeyHeldByAnotherEntry_ClaimIsRejectedThenReturnsTheResult)
{
    EXPECT_EQ(claim(m_first), ClaimOutcome::Granted);
    EXPECT_EQ(claim(m_second), ClaimOutcome::HeldElsewhere);
    m_first.service().recordDone(m_key, "receipt r17");
    advance(Milliseconds(10));
    for (ClaimsEntry &entry : m_entries) {
        EXPECT_EQ(claim(entry), ClaimOutcome::AlreadyDone);
        EXPECT_EQ(m_answer->result, "receipt r17");
    }
    const std::uint32_t appends = m_second.connection().appendCalls();
    EXPECT_EQ(claim(m_second), ClaimOutcome::AlreadyDone);
    EXPECT_EQ(m_second.connection().appendCalls(), appends) << "a known result needs no append";
}

TEST_F(Claims, ResultNotYetOnTheLog_RepeatedClaimWaitsForIt)
{
    EXPECT_EQ(claim(m_first), ClaimOutcome::Granted);
    startClaim(m_second);
    advance(Milliseconds(200));
    EXPECT_FALSE(m_answer);
    m_first.service().recordDone(m_key, "receipt r17");
    advance(Milliseconds(200));
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->outcome, ClaimOutcome::AlreadyDone);
    EXPECT_EQ(m_answer->result, "receipt r17");
}

TEST_F(Claims, TwoEntriesClaimAtOnce_ExactlyOneIsGranted)
{
    std::vector<ClaimOutcome> outcomes;
    for (ClaimsEntry &entry : m_entries) {
        entry.service().claim(
            {m_key, m_issuedAt, entry.clock().now() + ClaimTime},
            [&outcomes](const ClaimAnswer &answer) { outcomes.push_back(answer.outcome); });
    }
    advance(ClaimTime);
    std::ranges::sort(outcomes);
    EXPECT_EQ(outcomes, (std::vector{ClaimOutcome::Granted, ClaimOutcome::HeldElsewhere}));
}

TEST_F(Claims, AppendFaulty_ClaimIsGrantedExactlyOnce)
{
    struct Case
    {
        const char *name;
        FakeLogFault fault;
    };
    for (const Case &fault : {Case{"answer lost", FakeLogFault::AnswerLost},
                              {"doubled", FakeLogFault::Doubled},
                              {"doubled, answer lost", FakeLogFault::DoubledAnswerLost},
                              {"malformed answer", FakeLogFault::MalformedAnswer},
                              {"rate limited", FakeLogFault::RateLimited}}) {
        SCOPED_TRACE(fault.name);
        m_first.connection().failAppends(fault.fault);
        EXPECT_EQ(claim(m_first), ClaimOutcome::Granted);
        EXPECT_EQ(claim(m_second), ClaimOutcome::HeldElsewhere);
        m_first.service().recordNotRun(m_key);
        advance(ClaimTime);
    }
}

TEST_F(Claims, LogDown_ClaimIsUnavailableAtOnceAndLeavesTheKeyFree)
{
    m_first.connection().setDown(true);
    startClaim(m_first);
    advance(Milliseconds(10));
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->outcome, ClaimOutcome::Unavailable);
    m_first.connection().setDown(false);
    EXPECT_EQ(claim(m_second), ClaimOutcome::Granted);
}

TEST_F(Claims, AppendAnswerLostThenLogDown_ClaimTimesOutAndIsReleased)
{
    m_first.connection().failAppends(FakeLogFault::AnswerLost);
    m_first.connection().setDelays(Milliseconds(0), Milliseconds(5));
    startClaim(m_first);
    advance(Milliseconds(3));
    m_first.connection().setDown(true);
    advance(ClaimTime);
    EXPECT_EQ(m_answer->outcome, ClaimOutcome::Unavailable);
    EXPECT_EQ(claim(m_second), ClaimOutcome::HeldElsewhere);
    m_first.connection().setDown(false);
    advance(m_settings.maxBackoff * 2);
    EXPECT_EQ(claim(m_second), ClaimOutcome::Granted);
}

TEST_F(Claims, AppendTakesEffectAfterItsRelease_DoesNotHoldTheKey)
{
    m_first.connection().setDelays(ClaimTime * 4, Milliseconds(0));
    startClaim(m_first);
    advance(Milliseconds(2));
    m_first.connection().setDelays(Milliseconds(0), Milliseconds(0));
    advance(ClaimTime * 8);
    EXPECT_EQ(m_answer->outcome, ClaimOutcome::Unavailable);
    EXPECT_EQ(claim(m_second), ClaimOutcome::Granted);
}

TEST_F(Claims, ClaimantDead_KeyIsHeldUntilTheWindowEnds)
{
    EXPECT_EQ(claim(m_first), ClaimOutcome::Granted);
    m_first.kill();
    m_first.start();
    EXPECT_EQ(claim(m_first), ClaimOutcome::HeldElsewhere);
    EXPECT_EQ(claim(m_second), ClaimOutcome::HeldElsewhere);
    advance(m_settings.claimWindow);
    EXPECT_EQ(claim(m_second), ClaimOutcome::TooOld);
}

TEST_F(Claims, KeyReleased_LaterClaimIsGrantedAndRejectedOneIsNot)
{
    EXPECT_EQ(claim(m_first), ClaimOutcome::Granted);
    EXPECT_EQ(claim(m_second), ClaimOutcome::HeldElsewhere);
    m_first.service().recordNotRun(m_key);
    advance(ClaimTime);
    EXPECT_EQ(claim(m_first), ClaimOutcome::Granted);
    EXPECT_EQ(claim(m_second), ClaimOutcome::HeldElsewhere);
}

TEST_F(Claims, KeyReleasedBeforeAClaimIsRead_ClaimIsRetriedAtOnce)
{
    EXPECT_EQ(claim(m_first), ClaimOutcome::Granted);
    m_second.connection().setLagging(true);
    startClaim(m_second);
    advance(Milliseconds(50));
    m_first.service().recordNotRun(m_key);
    advance(Milliseconds(50));
    m_second.connection().setLagging(false);
    advance(ClaimTime);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->outcome, ClaimOutcome::Granted);
}

TEST_F(Claims, ClaimantPausedPastItsDeadline_IsNotGrantedAndKeyIsReleased)
{
    m_first.connection().setDelays(Milliseconds(0), Milliseconds(5));
    for (const Milliseconds pauseAfter : {Milliseconds(4), Milliseconds(9)}) {
        SCOPED_TRACE(pauseAfter.value());
        startClaim(m_first);
        advance(pauseAfter);
        m_first.pause();
        EXPECT_EQ(claim(m_second), ClaimOutcome::HeldElsewhere);
        m_answer.reset();
        m_first.resume();
        advance(ClaimTime);
        ASSERT_TRUE(m_answer);
        EXPECT_EQ(m_answer->outcome, ClaimOutcome::Unavailable);
        EXPECT_EQ(claim(m_second), ClaimOutcome::Granted);
        m_second.service().recordNotRun(m_key);
        advance(ClaimTime);
    }
}

TEST_F(Claims, ClaimReadAfterItsWindow_IsTooOld)
{
    m_first.connection().setDelays(Milliseconds(50), Milliseconds(50));
    m_issuedAt = m_first.clock().wallNow() - m_settings.claimWindow + Milliseconds(60);
    EXPECT_EQ(claim(m_first), ClaimOutcome::TooOld);
    EXPECT_EQ(m_first.connection().appendCalls(), 1U);
}

TEST_F(Claims, StageDoneDuringLogOutage_ResultIsRecordedAfterRecovery)
{
    EXPECT_EQ(claim(m_first), ClaimOutcome::Granted);
    m_first.connection().setDown(true);
    m_first.service().recordDone(m_key, "receipt r1");
    EXPECT_EQ(claim(m_second), ClaimOutcome::HeldElsewhere);
    advance(Milliseconds(60'000));
    EXPECT_EQ(m_first.service().unrecordedOutcomes(), 1U);
    m_first.connection().setDown(false);
    advance(m_settings.maxBackoff * 2);
    EXPECT_EQ(m_first.service().unrecordedOutcomes(), 0U);
    EXPECT_EQ(claim(m_second), ClaimOutcome::AlreadyDone);
    EXPECT_EQ(m_answer->result, "receipt r1");
}

TEST_F(Claims, RequestOutsideTheWindow_IsTooOldWithoutAnAppend)
{
    const TimePoint now = m_first.clock().wallNow();
    m_issuedAt = now - m_settings.claimWindow - Milliseconds(1);
    EXPECT_EQ(claim(m_first), ClaimOutcome::TooOld);
    m_issuedAt = m_first.clock().wallNow() + m_settings.clockSkew + Milliseconds(1);
    EXPECT_EQ(claim(m_first), ClaimOutcome::TooOld);
    EXPECT_EQ(m_first.connection().appendCalls(), 0U);
}

TEST_F(Claims, ReaderBehindTheRetention_ContinuesFromTheFirstRecordKept)
{
    EXPECT_EQ(claim(m_first), ClaimOutcome::Granted);
    m_first.service().recordDone(m_key, "old");
    advance(ClaimTime);
    m_log.expireUpTo(m_stream, m_log.end(m_stream));
    EXPECT_EQ(claim(m_second), ClaimOutcome::Granted);
}

TEST_F(Claims, RecordsExpiredFromTheLog_ReaderThatHadReadThemDropsThem)
{
    EXPECT_EQ(claim(m_first), ClaimOutcome::Granted);
    m_first.service().recordDone(m_key, "old");
    advance(ClaimTime);
    m_log.expireUpTo(m_stream, m_log.end(m_stream));
    EXPECT_EQ(claim(m_first), ClaimOutcome::Granted);
}

TEST_F(Claims, ReadsFailedOrShort_AreRetried)
{
    EXPECT_EQ(claim(m_first), ClaimOutcome::Granted);
    m_second.connection().failReads(InfrastructureError::MalformedAnswer, 3);
    m_second.connection().shortenPages(1);
    EXPECT_EQ(claim(m_second), ClaimOutcome::HeldElsewhere);
}

TEST_F(Claims, ReadsLagging_ClaimIsNotGranted)
{
    m_second.connection().setLagging(true);
    EXPECT_EQ(claim(m_first), ClaimOutcome::Granted);
    EXPECT_EQ(claim(m_second), ClaimOutcome::Unavailable);
    m_second.connection().setLagging(false);
    EXPECT_EQ(claim(m_second), ClaimOutcome::HeldElsewhere);
}

TEST_F(Claims, ResultNotStorable_ClaimIsDoneWithoutResult)
{
    const std::string tooLarge(static_cast<std::size_t>(m_settings.maxResult.value()) + 1, 'x');
    for (const std::string &result : {tooLarge, std::string("\xff")}) {
        const ClaimKey key{m_key.team, RequestId(std::to_string(result.size())), m_key.stage};
        const ClaimRequest request{key, m_issuedAt, m_first.clock().now() + ClaimTime * 10};
        m_first.service().claim(request, [](const ClaimAnswer &) {});
        advance(ClaimTime);
        m_first.service().recordDone(key, result);
        advance(ClaimTime);
        std::optional<ClaimAnswer> answer;
        m_second.service().claim(request, [&answer](const ClaimAnswer &given) { answer = given; });
        advance(ClaimTime);
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->outcome, ClaimOutcome::AlreadyDone);
        EXPECT_FALSE(answer->resultKept);
        EXPECT_EQ(answer->result, "");
    }
}

TEST_F(Claims, ClaimsWaitingTogether_ShareOneAppend)
{
    for (const std::uint32_t group : {1U, 10U, 100U, 1000U}) {
        ClaimsEntry entry("group" + std::to_string(group), m_log, m_settings, group);
        std::uint32_t granted = 0;
        const auto begin = std::chrono::steady_clock::now();
        for (std::uint32_t number = 0; number < group; ++number) {
            const RequestId request(std::to_string(group) + "-" + std::to_string(number));
            entry.service().claim({{m_key.team, request, m_key.stage},
                                   entry.clock().wallNow(),
                                   entry.clock().now() + ClaimTime},
                                  [&granted](const ClaimAnswer &answer) {
                                      granted += answer.outcome == ClaimOutcome::Granted ? 1 : 0;
                                  });
        }
        entry.advance(ClaimTime);
        const std::chrono::duration<double> spent = std::chrono::steady_clock::now() - begin;
        const std::uint32_t appends = entry.connection().appendCalls();
        std::cout << "    group " << group << " appends " << appends << " claims/s "
                  << group / spent.count() << '\n';
        EXPECT_EQ(granted, group);
        EXPECT_EQ(appends,
                  (group + m_settings.maxRecordsPerAppend - 1) / m_settings.maxRecordsPerAppend);
    }
}
