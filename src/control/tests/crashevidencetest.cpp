#include "control/icrashevidenceexchange.h"
#include "control/testing/controlfleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <set>
#include <vector>

using namespace lavendertally;
using namespace lavendertally::control;
using framework::Milliseconds;

namespace {

constexpr Milliseconds SpreadBound{3000};
constexpr Milliseconds Minute{60000};

/// Keeps what it receives, and passes on what is new to it.
class FakeExchange final : public ICrashEvidenceExchange
{
public:
    explicit FakeExchange(IDaemonControl &control) : m_control(control)
    {
        control.setCrashEvidence(*this);
    }

    std::vector<protocol::CrashEvidence> newest() const override
    {
        std::vector<protocol::CrashEvidence> all;
        for (const framework::CrashId crash : m_crashes) {
            all.push_back({framework::PromptPartId(1), crash, Milliseconds(20), Milliseconds(10)});
        }
        return all;
    }
    void receive(const std::vector<protocol::CrashEvidence> &evidence) override
    {
        for (const protocol::CrashEvidence &item : evidence) {
            add(item.crash);
        }
    }
    void add(framework::CrashId crash)
    {
        if (m_crashes.insert(crash).second && m_passesOn) {
            m_control.spreadCrashEvidence();
        }
    }

    IDaemonControl &m_control;
    std::set<framework::CrashId> m_crashes;
    bool m_passesOn = true;
};

} // namespace

class CrashEvidenceTest : public testing::Test
{
protected:
    static constexpr std::size_t Entries = 8;

    CrashEvidenceTest()
    {
        for (std::size_t i = 0; i < Entries; ++i) {
            m_exchanges.push_back(std::make_unique<FakeExchange>(*m_fleet.process(i).control));
        }
        m_fleet.advance(Minute);
    }

    void expectAllKnow(framework::CrashId crash)
    {
        for (std::size_t i = 0; i < Entries; ++i) {
            EXPECT_TRUE(m_exchanges[i]->m_crashes.contains(crash)) << "entry " << i;
        }
    }

    ControlFleet m_fleet{Entries, 4, 2, 7};
    std::vector<std::unique_ptr<FakeExchange>> m_exchanges;
};

TEST_F(CrashEvidenceTest, EntryHasNewEvidence_AllEntriesKnowItInTime)
{
    m_exchanges[3]->add(framework::CrashId(1));
    m_fleet.advance(SpreadBound);
    expectAllKnow(framework::CrashId(1));
}

TEST_F(CrashEvidenceTest, LogDown_AllEntriesKnowEvidenceInTime)
{
    m_fleet.setLogDown(true);
    m_exchanges[0]->add(framework::CrashId(1));
    m_exchanges[5]->add(framework::CrashId(2));
    m_fleet.advance(SpreadBound);
    expectAllKnow(framework::CrashId(1));
    expectAllKnow(framework::CrashId(2));
}

TEST_F(CrashEvidenceTest, EntryWasCutOff_LearnsFromOrdinaryQueries)
{
    for (const auto &exchange : m_exchanges) {
        exchange->m_passesOn = false;
    }
    m_fleet.setPartition(2, 1);
    for (std::size_t i = 0; i < Entries; ++i) {
        if (i != 2) {
            m_exchanges[i]->add(framework::CrashId(1));
        }
    }
    m_fleet.advance(SpreadBound);
    EXPECT_TRUE(m_exchanges[2]->m_crashes.empty());
    m_fleet.setPartition(2, 0);
    m_fleet.advance(SpreadBound);
    expectAllKnow(framework::CrashId(1));
}

TEST_F(CrashEvidenceTest, EntryHasNewEvidence_ItIsPassedOnBeforeOrdinaryQueries)
{
    constexpr Milliseconds BeforeOrdinaryQueries(50);
    constexpr int Rounds = 20;
    std::size_t told = 0;
    for (int round = 1; round <= Rounds; ++round) {
        const framework::CrashId crash(static_cast<std::uint64_t>(round));
        m_exchanges[3]->add(crash);
        m_fleet.advance(BeforeOrdinaryQueries);
        for (const auto &exchange : m_exchanges) {
            told += exchange->m_crashes.contains(crash) ? 1 : 0;
        }
        m_fleet.advance(SpreadBound);
        expectAllKnow(crash);
    }
    EXPECT_GE(told, Rounds * Entries / 2);
}

TEST_F(CrashEvidenceTest, EntryIsAsked_EvidenceGoesBothWaysIfTheSenderTakesIt)
{
    m_exchanges[0]->m_passesOn = false;
    m_exchanges[0]->add(framework::CrashId(1));
    const auto client = m_fleet.network().makeClient(m_fleet.scheduler(), {"10.0.0.1", 9});
    std::vector<protocol::RevisionReply> replies;
    protocol::RevisionQuery query;
    query.sender = framework::DaemonId("entry");
    const auto ask = [&] {
        client->sendQuery(m_fleet.endpoint(0), query, Milliseconds(400),
                          [&](const framework::Result<protocol::Message> &result) {
                              ASSERT_TRUE(result);
                              replies.push_back(std::get<protocol::RevisionReply>(*result));
                          });
        m_fleet.advance(Milliseconds(400));
    };
    ask();
    query.takesEvidence = true;
    query.evidence = {
        {framework::PromptPartId(1), framework::CrashId(2), Milliseconds(20), Milliseconds(10)}};
    ask();
    ASSERT_EQ(replies.size(), 2U);
    EXPECT_TRUE(replies[0].evidence.empty());
    EXPECT_EQ(replies[1].evidence.size(), 2U);
    EXPECT_TRUE(m_exchanges[0]->m_crashes.contains(framework::CrashId(2)));
}

TEST_F(CrashEvidenceTest, ProcessThatNobodyAsks_LearnsFromAnswers)
{
    FakeExchange asker(*m_fleet.process(Entries).control);
    m_exchanges[0]->add(framework::CrashId(1));
    m_fleet.advance(SpreadBound * 2);
    EXPECT_TRUE(asker.m_crashes.contains(framework::CrashId(1)));
}
