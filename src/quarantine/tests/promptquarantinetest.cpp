#include "framework/frameworkmodule.h"
#include "framework/imetrics.h"
#include "framework/testing/recordinglogger.h"
#include "quarantine/icrashevidencestore.h"
#include "quarantine/ipromptquarantine.h"
#include "quarantine/quarantinemodule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

using namespace lavendertally;
using namespace lavendertally::quarantine;
using framework::CrashId;
using framework::Milliseconds;
using framework::PromptPartId;
using framework::TimePoint;

namespace {

class PromptQuarantineTest : public testing::Test
{
protected:
    static constexpr PromptPartId Common{1};
    static constexpr PromptPartId Deadly{2};
    static constexpr PromptPartId Rare{3};
    static constexpr Milliseconds AttemptTime{300};

    using Quarantine = std::unique_ptr<IPromptQuarantine>;

    Quarantine make(const QuarantineLimits &limits = {})
    {
        return QuarantineModule::makeQuarantine(m_logger, *m_metrics, limits);
    }
    /// An attempt with \p parts is sent now and lost in a crash.
    void crash(const IPromptQuarantine::Parts &parts)
    {
        const TimePoint sent = m_now;
        m_now = m_now + AttemptTime;
        m_quarantine->serverCrashed(parts, CrashId(++m_lastCrash), sent, m_now);
        m_now = m_now + Milliseconds(10);
    }
    PartStanding standing(PromptPartId part) { return standing(*m_quarantine, part); }
    PartStanding standing(const IPromptQuarantine &quarantine, PromptPartId part)
    {
        return quarantine.assess({part}, m_now).standing;
    }
    ICrashEvidenceStore::Evidence evidence()
    {
        return m_quarantine->evidenceStore().evidence(m_now);
    }
    void advance(Milliseconds time) { m_now = m_now + time; }

    framework::RecordingLogger m_logger;
    std::unique_ptr<framework::IMetrics> m_metrics = framework::FrameworkModule::makeMetrics();
    Quarantine m_quarantine = make();
    TimePoint m_now{1000000};
    std::uint64_t m_lastCrash = 0;
};

} // namespace

TEST_F(PromptQuarantineTest, FirstCrash_PartIsSuspectedOnly)
{
    crash({Deadly});
    EXPECT_EQ(standing(Deadly), PartStanding::Suspected);
    EXPECT_EQ(standing(Common), PartStanding::Clear);
}

TEST_F(PromptQuarantineTest, SecondCrashOfAnAttemptSentAfterTheFirst_PartIsBlamed)
{
    crash({Deadly});
    crash({Deadly});
    EXPECT_EQ(standing(Deadly), PartStanding::Blamed);
    EXPECT_GT(m_quarantine->assess({Deadly}, m_now).retryAfter, Milliseconds(0));
}

TEST_F(PromptQuarantineTest, BlamedPartIsNotTheLastOfSeveral_ItIsTheOneFound)
{
    m_quarantine->answerBegan({Common, Rare}, m_now);
    crash({Common, Deadly, Rare});
    m_quarantine->answerBegan({Common, Rare}, m_now);
    crash({Common, Deadly, Rare});
    const PartAssessment assessment = m_quarantine->assess({Common, Deadly, Rare}, m_now);
    EXPECT_EQ(assessment.standing, PartStanding::Blamed);
    EXPECT_EQ(assessment.part, Deadly);
}

TEST_F(PromptQuarantineTest, AnswersGoOnWithTheSharedParts_SharedPartsStayClear)
{
    for (int each = 0; each < 20; ++each) {
        m_quarantine->answerBegan({Common}, m_now + Milliseconds(100));
        crash({Common, Deadly});
        EXPECT_EQ(standing(Common), PartStanding::Clear);
    }
    EXPECT_EQ(standing(Deadly), PartStanding::Blamed);
}

TEST_F(PromptQuarantineTest, AnswerBeginsAfterTheCrash_SuspicionIsTakenBackEverywhere)
{
    crash({Rare});
    const auto other = make();
    other->evidenceStore().merge(evidence(), m_now);
    EXPECT_EQ(standing(*other, Rare), PartStanding::Suspected);
    m_quarantine->answerBegan({Rare}, m_now);
    EXPECT_EQ(standing(Rare), PartStanding::Clear);
    other->evidenceStore().merge(evidence(), m_now);
    EXPECT_EQ(standing(*other, Rare), PartStanding::Clear);
}

TEST_F(PromptQuarantineTest, AnswerBeginsOnBlamedPart_BlameIsTakenBack)
{
    crash({Rare});
    crash({Rare});
    m_quarantine->answerBegan({Rare}, m_now);
    EXPECT_EQ(standing(Rare), PartStanding::Clear);
}

TEST_F(PromptQuarantineTest, ServersFailTogether_PartsInFlightAreNotBlamed)
{
    const TimePoint sent = m_now;
    advance(AttemptTime);
    for (std::uint64_t server = 1; server <= 9; ++server) {
        m_quarantine->serverCrashed({Common, Rare}, CrashId(server), sent, m_now);
    }
    EXPECT_EQ(standing(Common), PartStanding::Suspected);
    EXPECT_EQ(standing(Rare), PartStanding::Suspected);
}

TEST_F(PromptQuarantineTest, PartWasGoodBeforeTheCrash_RequestsWithItGoOn)
{
    m_quarantine->answerBegan({Common}, m_now);
    advance(Milliseconds(1000));
    crash({Common, Deadly});
    EXPECT_EQ(standing(Common), PartStanding::Clear);
    EXPECT_EQ(standing(Deadly), PartStanding::Suspected);
}

TEST_F(PromptQuarantineTest, PartTurnsDeadly_ItIsBlamedThoughItWasGoodBefore)
{
    m_quarantine->answerBegan({Common}, m_now);
    advance(Milliseconds(1000));
    crash({Common});
    crash({Common});
    EXPECT_EQ(standing(Common), PartStanding::Clear);
    crash({Common});
    EXPECT_EQ(standing(Common), PartStanding::Blamed);
}

TEST_F(PromptQuarantineTest, CrashIsThatOfABlamedPart_OtherPartsOfItAreClear)
{
    crash({Deadly});
    crash({Deadly, Rare});
    EXPECT_EQ(standing(Deadly), PartStanding::Blamed);
    EXPECT_EQ(standing(Rare), PartStanding::Clear);
}

TEST_F(PromptQuarantineTest, TwoPartsShareAllCrashes_RequestWithOneOfThemIsTriedToTellThemApart)
{
    crash({Common, Deadly});
    crash({Common, Deadly});
    EXPECT_EQ(m_quarantine->assess({Common, Deadly}, m_now).standing, PartStanding::Blamed);
    EXPECT_EQ(m_quarantine->assess({Common, Rare}, m_now).standing, PartStanding::Suspected);
    m_quarantine->answerBegan({Common, Rare}, m_now);
    EXPECT_EQ(standing(Common), PartStanding::Clear);
    EXPECT_EQ(standing(Deadly), PartStanding::Blamed);
}

TEST_F(PromptQuarantineTest, ManyCrashesOfSoundParts_BlamedPartKeepsItsEvidence)
{
    QuarantineLimits limits;
    limits.maxEvidence = 16;
    m_quarantine = make(limits);
    crash({Deadly});
    crash({Deadly});
    advance(limits.firstBlameTime);
    crash({Deadly});
    for (std::uint64_t each = 0; each < 100; ++each) {
        crash({PromptPartId(100 + each)});
    }
    EXPECT_EQ(standing(Deadly), PartStanding::Blamed);
}

TEST_F(PromptQuarantineTest, BlameEnds_DaemonsTryThePartOneAfterTheOther)
{
    const QuarantineLimits limits;
    const auto late = QuarantineModule::makeQuarantine(m_logger, *m_metrics, limits, 512);
    crash({Deadly});
    crash({Deadly});
    late->evidenceStore().merge(evidence(), m_now);
    advance(limits.firstBlameTime);
    EXPECT_EQ(standing(Deadly), PartStanding::Suspected);
    EXPECT_EQ(standing(*late, Deadly), PartStanding::Blamed);
    advance(Milliseconds(limits.firstBlameTime.value() / 2));
    EXPECT_EQ(standing(*late, Deadly), PartStanding::Suspected);
}

TEST_F(PromptQuarantineTest, NoFurtherEvidence_SuspicionEnds)
{
    const QuarantineLimits limits;
    crash({Rare});
    advance(limits.suspicionTime);
    EXPECT_EQ(standing(Rare), PartStanding::Clear);
    advance(limits.evidenceTime - limits.suspicionTime);
    EXPECT_TRUE(evidence().empty());
}

TEST_F(PromptQuarantineTest, BlameEnds_PartIsTriedAgainAndOneMoreCrashBlamesIt)
{
    const QuarantineLimits limits;
    crash({Deadly});
    crash({Deadly});
    advance(limits.firstBlameTime);
    EXPECT_EQ(standing(Deadly), PartStanding::Suspected);
    crash({Deadly});
    advance(limits.firstBlameTime);
    EXPECT_EQ(standing(Deadly), PartStanding::Blamed);
    advance(limits.blameTime);
    EXPECT_EQ(standing(Deadly), PartStanding::Suspected);
    advance(limits.maxEvidenceAge());
    EXPECT_EQ(standing(Deadly), PartStanding::Clear);
    EXPECT_TRUE(evidence().empty());
}

TEST_F(PromptQuarantineTest, SuspectedPartIsTried_OthersSeeTheTrial)
{
    crash({Deadly});
    EXPECT_FALSE(m_quarantine->assess({Deadly}, m_now).isOnTrial);
    m_quarantine->beginTrial({Deadly});
    EXPECT_TRUE(m_quarantine->assess({Deadly}, m_now).isOnTrial);
    m_quarantine->endTrial({Deadly});
    EXPECT_FALSE(m_quarantine->assess({Deadly}, m_now).isOnTrial);
}

TEST_F(PromptQuarantineTest, CrashesSeenByDifferentDaemons_AllBlameThePart)
{
    crash({Deadly});
    const auto other = make();
    other->evidenceStore().merge(evidence(), m_now + Milliseconds(20));
    const TimePoint sent = m_now + Milliseconds(30);
    advance(AttemptTime);
    other->serverCrashed({Deadly}, CrashId(77), sent, m_now);
    EXPECT_EQ(standing(*other, Deadly), PartStanding::Blamed);
    m_quarantine->evidenceStore().merge(other->evidenceStore().evidence(m_now), m_now);
    EXPECT_EQ(standing(Deadly), PartStanding::Blamed);
    EXPECT_EQ(m_quarantine->evidenceStore().fingerprint(m_now),
              other->evidenceStore().fingerprint(m_now));
}

TEST_F(PromptQuarantineTest, OneCrashIsSeenByManyDaemons_ItCountsOnce)
{
    const auto other = make();
    const TimePoint sent = m_now;
    advance(AttemptTime);
    m_quarantine->serverCrashed({Rare}, CrashId(5), sent, m_now);
    other->serverCrashed({Rare}, CrashId(5), sent + Milliseconds(50), m_now + Milliseconds(3));
    m_quarantine->evidenceStore().merge(other->evidenceStore().evidence(m_now), m_now);
    EXPECT_EQ(standing(Rare), PartStanding::Suspected);
    EXPECT_EQ(evidence().size(), 1U);
}

TEST_F(PromptQuarantineTest, OtherDaemonHasAnsweredWithThePart_ItVouchesForIt)
{
    const auto other = make();
    other->answerBegan({Common}, m_now);
    advance(Milliseconds(500));
    crash({Common});
    EXPECT_EQ(standing(Common), PartStanding::Suspected);
    other->evidenceStore().merge(evidence(), m_now);
    m_quarantine->evidenceStore().merge(other->evidenceStore().evidence(m_now), m_now);
    EXPECT_EQ(standing(Common), PartStanding::Clear);
}

TEST_F(PromptQuarantineTest, EvidenceIsRepeated_ListenerIsCalledForChangesOnly)
{
    int changes = 0;
    m_quarantine->evidenceStore().onChange([&](const protocol::CrashEvidence &) { ++changes; });
    crash({Rare});
    EXPECT_EQ(changes, 1);
    for (int each = 0; each < 5; ++each) {
        advance(Milliseconds(40));
        m_quarantine->evidenceStore().merge(evidence(), m_now + Milliseconds(7));
    }
    EXPECT_EQ(changes, 1);
}

TEST_F(PromptQuarantineTest, ManyPartsAndCrashes_MemoryIsBoundedAndTheNewestStays)
{
    QuarantineLimits limits;
    limits.maxEvidence = 16;
    limits.maxGoodParts = 16;
    m_quarantine = make(limits);
    for (std::uint64_t each = 0; each < 1000; ++each) {
        m_quarantine->answerBegan({PromptPartId(5000 + each)}, m_now);
        crash({PromptPartId(100 + each)});
    }
    EXPECT_EQ(evidence().size(), 16U);
    EXPECT_EQ(standing(PromptPartId(1099)), PartStanding::Suspected);
    EXPECT_EQ(standing(PromptPartId(100)), PartStanding::Clear);
}

TEST_F(PromptQuarantineTest, FullStoreReceivesOlderEvidence_NothingIsPassedOn)
{
    QuarantineLimits limits;
    limits.maxEvidence = 2;
    crash({PromptPartId(10)});
    const auto former = std::exchange(m_quarantine, make(limits));
    crash({PromptPartId(11)});
    crash({PromptPartId(12)});
    const auto old = former->evidenceStore().evidence(m_now);
    int changes = 0;
    m_quarantine->evidenceStore().onChange([&](const protocol::CrashEvidence &) { ++changes; });
    m_quarantine->evidenceStore().merge(old, m_now);
    EXPECT_EQ(changes, 0);
    EXPECT_EQ(evidence().size(), 2U);
}

TEST_F(PromptQuarantineTest, EvidenceHasImpossibleAges_ItIsTakenAsOfNowOrDropped)
{
    protocol::CrashEvidence future;
    future.part = Rare;
    future.crash = CrashId(1);
    future.attemptAge = Milliseconds(-100);
    future.crashAge = Milliseconds(-100);
    protocol::CrashEvidence ancient = future;
    ancient.part = Common;
    ancient.crashAge = Milliseconds(1000000000);
    m_quarantine->evidenceStore().merge({future, ancient}, m_now);
    EXPECT_EQ(standing(Rare), PartStanding::Suspected);
    EXPECT_EQ(evidence().size(), 1U);
}

namespace {

/// Requests with a deadly part come at a daemon regularly, each time sent if it may be.
class DeadlyStreamTest : public PromptQuarantineTest
{
protected:
    static constexpr std::uint32_t CrashesOfBudget = 5;
    static constexpr Milliseconds ContactTime{3000};

    /// \return attempts that reach a backend server later than the contact time after the fifth
    /// crash
    int attemptsAfterFifthCrash(Milliseconds interval, Milliseconds time)
    {
        const TimePoint end = m_now + time;
        TimePoint fifth = TimePoint::never();
        int late = 0;
        while (m_now < end) {
            const TimePoint came = m_now;
            if (standing(Deadly) != PartStanding::Blamed) {
                if (fifth != TimePoint::never() && m_now - fifth > ContactTime) {
                    ++late;
                }
                crash({Common, Deadly});
                if (m_lastCrash == CrashesOfBudget) {
                    fifth = m_now;
                }
            }
            m_now = std::max(m_now, came + interval);
            m_quarantine->answerBegan({Common}, m_now);
        }
        return late;
    }
};

} // namespace

TEST_F(DeadlyStreamTest, PartWasGoodBefore_FewAttemptsReachBackendServersAfterTheFifthCrash)
{
    m_quarantine->answerBegan({Common, Deadly}, m_now);
    advance(Milliseconds(1000));
    EXPECT_LE(attemptsAfterFifthCrash(Milliseconds(1000), Milliseconds(120000)), 3);
}

TEST_F(DeadlyStreamTest, RequestsAreRare_FewAttemptsReachBackendServersAfterTheFifthCrash)
{
    EXPECT_LE(attemptsAfterFifthCrash(Milliseconds(31000), Milliseconds(600000)), 3);
}

TEST_F(DeadlyStreamTest, DayIsLong_FewAttemptsReachBackendServersAfterTheFifthCrash)
{
    EXPECT_LE(attemptsAfterFifthCrash(Milliseconds(1000), Milliseconds(1200000)), 3);
}

TEST_F(PromptQuarantineTest, OtherPartOfThePromptIsSuspectedToo_TrialOfOneIsSeen)
{
    crash({Rare, Deadly});
    m_quarantine->beginTrial({Deadly});
    EXPECT_TRUE(m_quarantine->assess({Rare, Deadly}, m_now).isOnTrial);
}

TEST_F(PromptQuarantineTest, SoundRequestsAreLostBetweenTwoCrashes_DeadlyPartIsBlamed)
{
    crash({Deadly});
    const TimePoint sent = m_now;
    for (std::uint64_t part = 100; part < 400; ++part) {
        m_quarantine->serverCrashed({PromptPartId(part)}, CrashId(9000 + part / 50), sent, m_now);
    }
    crash({Deadly});
    EXPECT_EQ(standing(Deadly), PartStanding::Blamed);
}

TEST_F(PromptQuarantineTest, AttemptBeforeTheLastCrashIsLostToo_CrashStillCounts)
{
    const TimePoint early = m_now;
    crash({Deadly});
    const TimePoint sent = m_now;
    advance(AttemptTime);
    m_quarantine->serverCrashed({Deadly}, CrashId(50), sent, m_now);
    EXPECT_EQ(standing(Deadly), PartStanding::Blamed);
    // Another attempt waited at the same backend server for longer.
    m_quarantine->serverCrashed({Deadly}, CrashId(50), early, m_now);
    EXPECT_EQ(standing(Deadly), PartStanding::Blamed);
}

TEST_F(PromptQuarantineTest, BackendServersOfNewSharedPartFailTwice_PartIsNotRefusedForMinutes)
{
    // The first two servers of a model fail while they start; then all is well.
    crash({Common});
    crash({Common});
    advance(Milliseconds(10000));
    EXPECT_NE(standing(Common), PartStanding::Blamed);
}
