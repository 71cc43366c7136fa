#include "stages/tests/stagefixture.h"

#include <algorithm>

using namespace lavendertally;
using namespace lavendertally::stages;

using StageCoordinatorTest = StageFixture;

TEST_F(StageCoordinatorTest, StagesRunInOrderAndFinalResultsAreHandedOut)
{
    addServer("f1", "first");
    addServer("s1", "second");
    submit(job("r", 2, 1));
    ASSERT_EQ(m_calls.size(), 1U);
    EXPECT_EQ(m_calls[0].pieces.size(), 2U);
    EXPECT_EQ(m_calls[0].pieces[0].input.value(), "key-r");
    answer(m_calls[0]);
    ASSERT_EQ(m_calls.size(), 2U);
    EXPECT_EQ(m_calls[1].pieces[0].inputs.size(), 2U);
    EXPECT_TRUE(m_freed.empty());
    answer(m_calls[1]);
    ASSERT_TRUE(isDone("r"));
    ASSERT_EQ(m_ended["r"].results.size(), 1U);
    EXPECT_EQ(m_ended["r"].results[0].id.value(), "r/1/0");
    EXPECT_EQ(m_freed.size(), 2U);
}

TEST_F(StageCoordinatorTest, PiecesOfManyRequestsShareACall)
{
    addServer("f1", "first");
    submit(job("a", 1));
    for (const char *request : {"b", "c", "d"}) {
        submit(job(request, 1));
    }
    ASSERT_EQ(m_calls.size(), 1U);
    answer(m_calls[0]);
    ASSERT_EQ(m_calls.size(), 2U);
    EXPECT_EQ(m_calls[1].pieces.size(), 3U);
}

TEST_F(StageCoordinatorTest, CallIsNeverLargerThanABatch)
{
    addServer("f1", "first");
    submit(job("a", 6));
    ASSERT_EQ(m_calls.size(), 1U);
    EXPECT_EQ(m_calls[0].pieces.size(), 4U);
    answer(m_calls[0]);
    ASSERT_EQ(m_calls.size(), 2U);
    EXPECT_EQ(m_calls[1].pieces.size(), 2U);
}

TEST_F(StageCoordinatorTest, DueDateOrdersTheQueueAndUrgencyLeads)
{
    addServer("f1", "first");
    submit(job("running", 4));
    protocol::StageJob early = job("early", 4, 0, 1500);
    protocol::StageJob late = job("late", 4, 0, 1900);
    protocol::StageJob urgent = job("urgent", 4, 0, 1550);
    early.priority = framework::PriorityRank(1);
    submit(late);
    submit(early);
    submit(urgent);
    answer(m_calls[0]);
    EXPECT_EQ(m_calls[1].pieces[0].request.value(), "urgent");
    answer(m_calls[1]);
    EXPECT_EQ(m_calls[2].pieces[0].request.value(), "early");
    answer(m_calls[2]);
    EXPECT_EQ(m_calls[3].pieces[0].request.value(), "late");
}

TEST_F(StageCoordinatorTest, JobThatWouldBeLateIsRefusedAtOnceAndHasCostNothing)
{
    addServer("f1", "first");
    for (int each = 0; each < 40; ++each) {
        submit(job("r" + std::to_string(each), 4, 0, 1000));
    }
    const auto refused = std::count_if(m_ended.begin(), m_ended.end(), [](const auto &entry) {
        return entry.second.status == protocol::StageJobStatus::Overloaded;
    });
    EXPECT_GT(refused, 30);
    EXPECT_GT(m_ended["r39"].retryAfter, framework::Milliseconds(0));
    EXPECT_EQ(m_calls.size(), 1U);
}

TEST_F(StageCoordinatorTest, NoServerIsARefusal)
{
    submit(job("r", 1));
    EXPECT_EQ(m_ended["r"].status, protocol::StageJobStatus::Overloaded);
}

TEST_F(StageCoordinatorTest, JobThatFellLateBeforeItBeganIsRefused)
{
    addServer("f1", "first");
    submit(job("running", 4));
    submit(job("waiting", 1, 0, 700));
    ASSERT_FALSE(m_ended.contains("waiting"));
    advance(900);
    wake();
    EXPECT_EQ(m_ended["waiting"].status, protocol::StageJobStatus::Overloaded);
}

TEST_F(StageCoordinatorTest, BrokenCallIsRepeatedElsewhere)
{
    addServer("f1", "first");
    submit(job("r", 2));
    addServer("f2", "first");
    end(m_calls[0], {StageCallStatus::Unknown, {}});
    ASSERT_EQ(m_calls.size(), 2U);
    EXPECT_EQ(m_calls[1].server.id.value(), "f2");
    EXPECT_EQ(m_calls[1].pieces.size(), 2U);
}

TEST_F(StageCoordinatorTest, PieceThatKeepsFailingEndsItsJobOnly)
{
    addServer("f1", "first");
    submit(job("bad", 1));
    for (std::size_t attempt = 0; attempt < m_calls.size(); ++attempt) {
        fail(m_calls[attempt], PieceStatus::Error);
    }
    EXPECT_EQ(m_ended["bad"].status, protocol::StageJobStatus::Failed);
    EXPECT_EQ(m_calls.size(), 4U);
    submit(job("good", 1));
    answer(m_calls.back());
    EXPECT_TRUE(isDone("good"));
}

TEST_F(StageCoordinatorTest, LostInputsAreMadeAgain)
{
    addServer("f1", "first");
    addServer("s1", "second");
    submit(job("r", 1, 1));
    answer(m_calls[0]);
    fail(m_calls[1], PieceStatus::InputMissing);
    ASSERT_EQ(m_calls.size(), 3U);
    EXPECT_EQ(m_calls[2].server.service.value(), "first");
    answer(m_calls[2]);
    answer(m_calls[3]);
    EXPECT_TRUE(isDone("r"));
}

TEST_F(StageCoordinatorTest, CancelledJobFreesItsResults)
{
    addServer("f1", "first");
    addServer("s1", "second");
    submit(job("r", 1, 1));
    answer(m_calls[0]);
    m_coordinator->cancel({Owner, framework::RequestId("r")}, m_now);
    take();
    EXPECT_EQ(m_freed.size(), 1U);
    answer(m_calls[1]);
    EXPECT_EQ(m_freed.size(), 2U);
    EXPECT_TRUE(m_ended.empty());
}

TEST_F(StageCoordinatorTest, JobsOfADaemonThatLeftAreDropped)
{
    addServer("f1", "first");
    submit(job("a", 4));
    submit(job("b", 4));
    m_coordinator->cancelAll(Owner, m_now);
    take();
    answer(m_calls[0]);
    EXPECT_EQ(m_calls.size(), 1U);
    EXPECT_TRUE(m_ended.empty());
}

TEST_F(StageCoordinatorTest, JobsThatHaveNotBegunAreHandedOver)
{
    addServer("f1", "first");
    submit(job("begun", 4));
    submit(job("waiting", 4));
    m_coordinator->handOver();
    take();
    EXPECT_EQ(m_ended["waiting"].status, protocol::StageJobStatus::NotCoordinator);
    EXPECT_FALSE(m_ended.contains("begun"));
    answer(m_calls[0]);
    EXPECT_TRUE(isDone("begun"));
}

TEST_F(StageCoordinatorTest, RoomIsTakenUntilTheServerHasDroppedTheResults)
{
    m_serving.set({}, {pool("first", 4, 4000), pool("second", 4, 4000)});
    addServer("f1", "first");
    submit(job("a", 4));
    answer(m_calls[0]);
    submit(job("b", 4));
    EXPECT_EQ(m_calls.size(), 1U);
    std::vector<framework::StageResultId> results;
    for (const auto &place : m_ended["a"].results) {
        results.push_back(place.id);
    }
    m_coordinator->release(results, m_now);
    take();
    EXPECT_EQ(m_freed.size(), 4U);
    EXPECT_EQ(m_calls.size(), 1U);
    m_coordinator->resultsFreed(results, m_now);
    take();
    EXPECT_EQ(m_calls.size(), 2U);
}

TEST_F(StageCoordinatorTest, RoomComesBackWhenResultsExpire)
{
    m_serving.set({}, {pool("first", 4, 4000), pool("second", 4, 4000)});
    addServer("f1", "first");
    submit(job("a", 4));
    answer(m_calls[0]);
    submit(job("b", 4, 0, 9000));
    advance(3900);
    wake();
    EXPECT_EQ(m_calls.size(), 1U);
    advance(200);
    wake();
    EXPECT_EQ(m_calls.size(), 2U);
}

TEST_F(StageCoordinatorTest, LargeDataStaysInItsZoneWhileThereIsTime)
{
    addServer("f1", "first", "zb");
    protocol::StageJob patient = job("patient", 1);
    patient.stages[0].resultSize = framework::Bytes(500000);
    patient.zone = framework::AvailabilityZoneId("za");
    addServer("f2", "first", "za");
    submit(patient);
    ASSERT_EQ(m_calls.size(), 1U);
    EXPECT_EQ(m_calls[0].server.id.value(), "f2");
    protocol::StageJob second = patient;
    second.request = framework::RequestId("second");
    submit(second);
    EXPECT_EQ(m_calls.size(), 1U);
    protocol::StageJob hurried = patient;
    hurried.request = framework::RequestId("hurried");
    hurried.objectiveLeft = framework::Milliseconds(500);
    submit(hurried);
    ASSERT_EQ(m_calls.size(), 2U);
    EXPECT_EQ(m_calls[1].server.id.value(), "f1");
}

TEST_F(StageCoordinatorTest, SlowServerGetsOnlyWhatCanWait)
{
    addServer("f1", "first");
    submit(job("a", 1));
    advance(1500);
    answer(m_calls[0]);
    submit(job("hurried", 1, 0, 700));
    EXPECT_EQ(m_calls.size(), 1U);
    submit(job("patient", 1, 0, 5000));
    ASSERT_EQ(m_calls.size(), 2U);
    EXPECT_EQ(m_calls[1].pieces[0].request.value(), "patient");
}

TEST_F(StageCoordinatorTest, StageWithoutPiecesIsNotWaitedFor)
{
    addServer("s1", "second");
    protocol::StageJob only = job("r", 1, 1);
    only.stages.erase(only.stages.begin());
    submit(only);
    ASSERT_EQ(m_calls.size(), 1U);
    EXPECT_TRUE(m_calls[0].pieces[0].inputs.empty());
    answer(m_calls[0]);
    EXPECT_TRUE(isDone("r"));
}

TEST_F(StageCoordinatorTest, WorthlessUnstartedJobGivesWayToAWorthyOne)
{
    addServer("f1", "first");
    submit(job("running", 4));
    for (int each = 0; each < 8; ++each) {
        protocol::StageJob small = job("small" + std::to_string(each), 4, 0, 1400);
        small.worth = 30;
        submit(small);
    }
    protocol::StageJob large = job("large", 4, 0, 1450);
    large.worth = 400;
    submit(large);
    EXPECT_FALSE(m_ended.contains("large"));
    const bool gaveWay = std::any_of(m_ended.begin(), m_ended.end(), [](const auto &entry) {
        return entry.first.starts_with("small");
    });
    EXPECT_TRUE(gaveWay);
}

TEST_F(StageCoordinatorTest, ServerThatAnotherCoordinatorUsesIsLeftToIt)
{
    addServer("a", "first");
    const framework::BackendServerId server("a");
    m_coordinator->setForeign(framework::DaemonId("other"), {{server, framework::Bytes(0), 1}},
                              Start);
    submit(job("r1", 2));
    EXPECT_TRUE(m_calls.empty());
    m_coordinator->setForeign(framework::DaemonId("other"), {{server, framework::Bytes(999500), 0}},
                              Start);
    take();
    EXPECT_TRUE(m_calls.empty()) << "no room for a result of 1000 bytes";
    m_coordinator->setForeign(framework::DaemonId("other"), {{server, framework::Bytes(998500), 0}},
                              Start);
    take();
    ASSERT_EQ(m_calls.size(), 1U);
    EXPECT_EQ(m_calls[0].pieces.size(), 1U);
    const auto holdings = m_coordinator->holdings();
    ASSERT_EQ(holdings.size(), 1U);
    EXPECT_EQ(holdings[0], (protocol::StageHolding{server, framework::Bytes(1000), 1}));
}

TEST_F(StageCoordinatorTest, CoordinatorThatFallsSilentIsForgotten)
{
    addServer("a", "first");
    m_coordinator->setForeign(framework::DaemonId("other"),
                              {{framework::BackendServerId("a"), framework::Bytes(0), 1}}, Start);
    submit(job("r1", 2));
    m_coordinator->wake(Start + framework::Milliseconds(600));
    take();
    EXPECT_EQ(m_calls.size(), 1U);
}
