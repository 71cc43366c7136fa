#include "soak/internal/promises.h"

#include "standins/platformserverstandin.h"

#include <gtest/gtest.h>

using namespace lavendertally;
using namespace lavendertally::soak;
using framework::Milliseconds;
using framework::TimePoint;

/// The checks find what they are for, and nothing else.
class PromisesTest : public testing::Test
{
protected:
    static constexpr TimePoint Start{100000};

    void send(const char *id, RequestKind kind = RequestKind::Booking, TimePoint at = Start)
    {
        SentRequest request;
        request.kind = kind;
        request.team = "team1";
        request.sent = at;
        m_promises.sent(id, request);
    }
    void run(const char *id, TimePoint at = Start, const char *server = "desk-0")
    {
        m_promises.ran(id, "team1", server, at);
    }
    void answer(const char *id, int status, const std::string &body, TimePoint at = Start)
    {
        http::HttpResponse response;
        response.end = http::HttpEnd::Complete;
        response.status = status;
        response.body = body;
        response.headers = {{"X-Lavendertally-Response-Signature", std::string("s-") + id}};
        m_promises.ended(id, response, at);
    }
    void cut(const char *id, TimePoint at)
    {
        http::HttpResponse response;
        response.end = http::HttpEnd::Broken;
        m_promises.ended(id, response, at);
    }
    std::size_t violations() const { return m_promises.violations().size(); }

    TimePoint m_calm;
    TimePoint m_broken;
    Promises m_promises{[this](std::size_t /*gateway*/) { return m_calm; },
                        [this](std::size_t /*gateway*/) { return m_broken; }};
};

TEST_F(PromisesTest, WholeAnswerOfARequestThatRanOnceIsRight)
{
    send("a");
    run("a");
    answer("a", 200, "desk-0 ran a");
    send("b", RequestKind::Stream);
    run("b");
    answer("b", 200, standins::PlatformServerStandIn::wholeStream());
    m_promises.finish(Start);
    EXPECT_TRUE(m_promises.violations().empty());
}

TEST_F(PromisesTest, SecondRunOfABookingIsFound)
{
    send("a");
    run("a");
    run("a");
    EXPECT_EQ(violations(), 1U);
    send("b", RequestKind::Lookup);
    run("b");
    run("b");
    EXPECT_EQ(violations(), 1U);
}

TEST_F(PromisesTest, RunThatNobodySentOrForAnotherTeamIsFound)
{
    run("x");
    EXPECT_EQ(violations(), 1U);
    send("a");
    m_promises.ran("a", "team2", "desk-0", Start);
    EXPECT_EQ(violations(), 2U);
}

TEST_F(PromisesTest, RefusalOfWhatRanIsFoundAlsoIfItRunsLater)
{
    send("a");
    answer("a", 503, "");
    run("a");
    send("b");
    run("b");
    answer("b", 200, "desk-0 ran b");
    m_promises.finish(Start);
    EXPECT_EQ(violations(), 2U) << "the refusal, and too little served in the quiet time";
}

TEST_F(PromisesTest, AnswerOfAnotherRequestOrAPartOfItIsFound)
{
    send("a");
    run("a");
    answer("a", 200, "desk-0 ran b");
    EXPECT_EQ(violations(), 1U);
    send("b", RequestKind::Stream);
    run("b");
    answer("b", 200, "id: 1\ndata: e\n\n");
    EXPECT_EQ(violations(), 2U);
}

TEST_F(PromisesTest, RevokedKeyIsFoundOnAnyGateway)
{
    m_promises.keyRevoked("team1", Start);
    m_calm = TimePoint::never();
    const TimePoint bound = Start + Promises::RevocationLimit;
    send("a", RequestKind::Booking, bound);
    run("a", bound);
    EXPECT_EQ(violations(), 0U);
    send("b", RequestKind::Booking, bound + Milliseconds(1));
    run("b", bound + Milliseconds(1));
    EXPECT_EQ(violations(), 1U);
}

TEST_F(PromisesTest, ServerThatLeftIsFoundOnACalmGateway)
{
    m_promises.serverLeft("desk-0", Start);
    const TimePoint late = Start + Promises::DrainLimit + Milliseconds(1);
    send("a", RequestKind::Booking, late);
    m_calm = Start - Milliseconds(100);
    run("a", late);
    EXPECT_EQ(violations(), 0U) << "something was done to the gateway just before";
    send("b", RequestKind::Booking, late);
    m_calm = TimePoint();
    run("b", late);
    EXPECT_EQ(violations(), 1U);
}

TEST_F(PromisesTest, DeniedProperRequestIsFound)
{
    send("a");
    answer("a", 404, "");
    send("b");
    answer("b", 401, "");
    EXPECT_EQ(violations(), 2U);
    m_promises.keyRevoked("team1", Start);
    send("c");
    answer("c", 401, "");
    EXPECT_EQ(violations(), 2U);
}

TEST_F(PromisesTest, CutConnectionIsFoundUnlessTheGatewayWasKilled)
{
    send("a");
    run("a");
    cut("a", Start + Milliseconds(50));
    EXPECT_EQ(violations(), 1U);
    send("b");
    cut("b", Start + Milliseconds(50));
    EXPECT_EQ(violations(), 1U) << "it crossed the close of an idle connection";
    m_broken = Start;
    send("c");
    run("c");
    cut("c", Start + Milliseconds(50));
    EXPECT_EQ(violations(), 1U);
}

TEST_F(PromisesTest, AnswerAfterTheTimeIsFound)
{
    send("a");
    run("a");
    answer("a", 504, "", Start + Promises::RequestTimeout + Milliseconds(600));
    EXPECT_EQ(violations(), 1U);
}
