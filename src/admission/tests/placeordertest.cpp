#include "admission/admissionmodule.h"
#include "admission/iplaceadmission.h"
#include "admission/iservicecapacity.h"
#include "admission/types/placelimits.h"
#include "framework/frameworkmodule.h"
#include "framework/irandom.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <vector>

using namespace lavendertally::admission;
using namespace lavendertally::framework;

namespace {

/// One gateway, one server with two slots that are both taken and answers of 100 ms.
class PlaceOrderTest : public testing::Test, private IServiceCapacity
{
protected:
    static constexpr std::uint32_t Slots = 2;
    static constexpr Milliseconds ServiceTime{100};

    PlaceOrderTest()
        : m_random(FrameworkModule::makeRandom(1)),
          m_places(AdmissionModule::makePlaceAdmission(*this, *m_random, PlaceLimits()))
    {
        for (std::uint32_t call = 0; call < Slots; ++call) {
            m_places->offer(request(m_next++), m_now);
            m_places->callStarted(service(), server(), m_now);
        }
        m_places->observeLoad(service(), server(), {Slots, 0, Slots}, m_now);
        m_places->answered(request(0), ServiceTime, m_now);
    }

    static ServiceId service() { return ServiceId("s"); }
    static BackendServerId server() { return BackendServerId("b"); }
    PlaceRequest request(std::uint64_t number) const
    {
        PlaceRequest result;
        result.key.attempt = AttemptId(number);
        result.service = service();
        result.route = RouteId("r");
        result.team = TeamId("t");
        result.timeGiven = Milliseconds(2000);
        result.deadline = m_now + result.timeGiven;
        result.identity = number;
        return result;
    }
    PlaceDecision offer(const PlaceRequest &request) { return m_places->offer(request, m_now); }
    /// One call ends, and the next one starts.
    /// \return numbers of the requests that are admitted
    std::vector<std::uint64_t> endCall()
    {
        m_places->observeLoad(service(), server(), {Slots, 0, Slots}, m_now);
        m_places->callEnded(service(), server(), false, m_now);
        std::vector<std::uint64_t> admitted;
        for (const PlaceDecision &decision : m_places->takeDecisions(m_now)) {
            m_lastDecision = decision;
            if (decision.verdict == AdmissionVerdict::Run) {
                admitted.push_back(decision.key.attempt.value());
                m_places->callStarted(service(), server(), m_now);
            }
        }
        return admitted;
    }
    /// Fills the queue until a request is refused.
    /// \return the refused one
    PlaceRequest fillQueue(PlaceDecision &refusal)
    {
        while (true) {
            PlaceRequest next = request(m_next++);
            refusal = offer(next);
            if (refusal.verdict == AdmissionVerdict::Refuse) {
                return next;
            }
        }
    }

    TimePoint m_now{1'000'000};
    std::optional<std::uint32_t> m_maxCalls;
    std::uint64_t m_next = 1;
    PlaceDecision m_lastDecision;
    std::unique_ptr<IRandom> m_random;
    std::unique_ptr<IPlaceAdmission> m_places;

private:
    std::vector<ServerSlots> servers(const ServiceId & /*service*/) const override
    {
        return {{server(), Slots}};
    }
    bool isModelEngine(const ServiceId &service) const override
    {
        return service != ServiceId("plain");
    }
    std::size_t gatewayCount() const override { return 1; }
    std::optional<std::uint32_t> maxCalls(const ServiceId & /*service*/) const override
    {
        return m_maxCalls;
    }
};

} // namespace

// Load: three requests wait. Guards against stage work that is thrown away, and against a rank that
// is passed over for it.
TEST_F(PlaceOrderTest, StagesOfARequestHaveRun_ItGoesAheadOfItsRankOnly)
{
    PlaceRequest invested = request(12);
    invested.hasInvestedWork = true;
    PlaceRequest lessUrgent = request(13);
    lessUrgent.rank = PriorityRank(1);
    lessUrgent.hasInvestedWork = true;
    offer(lessUrgent);
    offer(request(11));
    offer(invested);
    EXPECT_EQ(endCall(), std::vector<std::uint64_t>{12});
    EXPECT_EQ(endCall(), std::vector<std::uint64_t>{11});
    EXPECT_EQ(endCall(), std::vector<std::uint64_t>{13});
}

// Load: a full queue. Guards against a caller that waited as it was told and queues behind
// newcomers, also with an earlier deadline.
TEST_F(PlaceOrderTest, RefusedCallerReturnsOnTime_ItGoesAheadOfNewcomers)
{
    PlaceDecision refusal;
    PlaceRequest refused = fillQueue(refusal);
    EXPECT_LE(refusal.retryAfter, Milliseconds(2000 / 3));
    m_now = m_now + refusal.retryAfter;
    refused.key.attempt = AttemptId(500);
    refused.deadline = m_now + Milliseconds(2000);
    const PlaceDecision returned = offer(refused);
    EXPECT_EQ(returned.timing, ReturnTiming::OnTime);
    EXPECT_EQ(returned.verdict, AdmissionVerdict::Wait);
    EXPECT_EQ(endCall(), std::vector<std::uint64_t>{500});
}

// Load: the same. Guards against a gain from returning before the time.
TEST_F(PlaceOrderTest, RefusedCallerReturnsEarly_ItGainsNothing)
{
    PlaceDecision refusal;
    PlaceRequest refused = fillQueue(refusal);
    m_now = m_now + Milliseconds(10);
    EXPECT_FALSE(endCall().empty());
    refused.key.attempt = AttemptId(500);
    // Of the same rank and team, it would go first by its deadline.
    refused.deadline = refused.deadline - Milliseconds(500);
    EXPECT_EQ(offer(refused).timing, ReturnTiming::Early);
    while (true) {
        const std::vector<std::uint64_t> admitted = endCall();
        ASSERT_FALSE(admitted.empty());
        if (admitted.front() == 500) {
            break;
        }
    }
    // All that waited before have gone on.
    EXPECT_TRUE(endCall().empty());
}

// Load: the same; the caller comes back at another gateway, which has refused requests of the route
// as well. Guards against returns that are only recognised where they were refused.
TEST_F(PlaceOrderTest, ReturnOfAnotherGatewaysRefusal_TakesAPlaceThatIsDue)
{
    PlaceDecision refusal;
    fillQueue(refusal);
    m_now = m_now + refusal.retryAfter;
    PlaceRequest unknown = request(500);
    unknown.timeGiven = Milliseconds(2000) - refusal.retryAfter;
    unknown.deadline = m_now + unknown.timeGiven;
    EXPECT_EQ(offer(unknown).timing, ReturnTiming::OnTime);
    // A newcomer has all of its time left and is not taken for one.
    EXPECT_EQ(offer(request(501)).timing, ReturnTiming::None);
}

// Load: a request of rank 1 waits, and urgent ones come. Guards against requests held until their
// deadline although nothing can be done for them.
TEST_F(PlaceOrderTest, UrgentArrivalsLeaveNoTime_WaitingRequestIsRefusedBeforeItsDeadline)
{
    PlaceRequest waiting = request(100);
    waiting.rank = PriorityRank(1);
    waiting.deadline = m_now + Milliseconds(200);
    EXPECT_EQ(offer(waiting).verdict, AdmissionVerdict::Wait);
    for (std::uint64_t number = 101; number < 106; ++number) {
        offer(request(number));
    }
    for (const PlaceDecision &decision : m_places->takeDecisions(m_now)) {
        m_lastDecision = decision;
    }
    EXPECT_EQ(m_lastDecision.key.attempt, AttemptId(100));
    EXPECT_EQ(m_lastDecision.refusal, PlaceRefusal::WouldBeLate);
}

// Load: callers that were told to return do not. Guards against places that are held for ever.
TEST_F(PlaceOrderTest, ReturnsNeverCome_NewcomersGetThePlaces)
{
    PlaceDecision refusal;
    fillQueue(refusal);
    // All that were refused were told to return within a third of 2000 ms.
    m_now = m_now + Milliseconds(2000 / 3 + 250);
    EXPECT_EQ(endCall().size(), 1U);
    EXPECT_EQ(endCall().size(), 1U);
}

// Load: none; the connections to the service allow one call. Guards against calls beyond them.
TEST_F(PlaceOrderTest, CallLimitIsReached_RequestWaitsThoughSlotsAreFree)
{
    m_maxCalls = 1;
    m_places->callEnded(service(), server(), false, m_now);
    m_places->observeLoad(service(), server(), {1, 0, Slots}, m_now);
    m_now = m_now + Milliseconds(10);
    EXPECT_EQ(offer(request(100)).verdict, AdmissionVerdict::Wait);
    m_maxCalls.reset();
    m_now = m_now + Milliseconds(10);
    EXPECT_EQ(m_places->takeDecisions(m_now).size(), 1U);
}

// Load: a burst beyond the slots at a service that has not answered yet. Guards against limits on
// services that report no load, after each start of a gateway.
TEST_F(PlaceOrderTest, ServiceIsNoModelEngineAndHasNotAnswered_IsNotLimited)
{
    for (std::uint64_t number = 100; number < 120; ++number) {
        PlaceRequest next = request(number);
        next.service = ServiceId("plain");
        EXPECT_EQ(offer(next).verdict, AdmissionVerdict::Run);
        m_places->callStarted(next.service, server(), m_now);
    }
}

// Load: both slots are taken; answers come without reports. Guards against a service that stays
// limited for good after one report.
TEST_F(PlaceOrderTest, ServiceReportsNoLongerThoughItAnswers_IsNotLimited)
{
    m_places->observeNoLoad(service(), m_now);
    PlaceRequest waiting = request(100);
    waiting.deadline = m_now + PlaceLimits().reportingLifetime * 2;
    EXPECT_EQ(offer(waiting).verdict, AdmissionVerdict::Wait);
    m_now = m_now + PlaceLimits().reportingLifetime;
    m_places->observeNoLoad(service(), m_now);
    const auto decisions = m_places->takeDecisions(m_now);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].verdict, AdmissionVerdict::Run);
    for (std::uint64_t number = 101; number < 120; ++number) {
        EXPECT_EQ(offer(request(number)).verdict, AdmissionVerdict::Run);
        m_places->callStarted(service(), server(), m_now);
    }
}
