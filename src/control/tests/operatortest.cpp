#include "control/ioperatorservice.h"
#include "control/testing/controlfleet.h"
#include "control/types/operatorerror.h"

#include <gtest/gtest.h>

#include <optional>

using namespace lavendertally;
using namespace lavendertally::control;
using framework::Milliseconds;
using infrastructure::FakeLogFault;

namespace {

constexpr Milliseconds Timeout{5000};

/// Result of one submit().
struct SubmitOutcome
{
    bool called = false;
    std::optional<configuration::OperationVerdict> verdict;
    OperatorError error = OperatorError::InvalidChange;
};

configuration::OperatorChange zoneOut(const std::string &operation)
{
    configuration::OperatorChange change;
    change.operation = framework::OperationId(operation);
    change.change = configuration::SetZoneOut{framework::AvailabilityZoneId("z0"), true};
    return change;
}

} // namespace

class OperatorServiceTest : public testing::Test
{
protected:
    OperatorServiceTest()
        : m_service(ControlModule::makeOperatorService(m_fleet.process(0).logService,
                                                       *m_fleet.process(0).replica, *m_codec,
                                                       m_fleet.process(0).scheduler))
    { }

    infrastructure::FakeLogService &log() { return m_fleet.process(0).logService; }

    SubmitOutcome submit(const configuration::OperatorChange &change)
    {
        SubmitOutcome outcome;
        m_service->submit(
            change, Timeout, [&](framework::Result<configuration::OperationVerdict> result) {
                EXPECT_FALSE(outcome.called);
                outcome.called = true;
                if (result) {
                    outcome.verdict = result.value();
                } else {
                    outcome.error =
                        framework::errorOf(std::move(result), OperatorError::InvalidChange);
                }
            });
        EXPECT_FALSE(outcome.called) << "callback was called from within submit()";
        m_fleet.advance(Timeout + Milliseconds(100));
        EXPECT_TRUE(outcome.called);
        return outcome;
    }

    bool isZoneOut()
    {
        const auto &out = m_fleet.process(0).replica->current()->zonesOut;
        return out.contains(framework::AvailabilityZoneId("z0"));
    }

    ControlFleet m_fleet{1, 0, 1, 1};
    std::unique_ptr<configuration::IControlRecordCodec> m_codec =
        configuration::ConfigurationModule::makeRecordCodec();
    std::unique_ptr<IOperatorService> m_service;
};

TEST_F(OperatorServiceTest, ChangeSubmitted_IsInForceWhenVerdictArrives)
{
    const SubmitOutcome outcome = submit(zoneOut("op"));
    ASSERT_TRUE(outcome.verdict);
    EXPECT_TRUE(outcome.verdict->accepted);
    EXPECT_TRUE(isZoneOut());
}

TEST_F(OperatorServiceTest, AppendAnswerLost_VerdictComesFromTheLog)
{
    for (const FakeLogFault fault : {FakeLogFault::AnswerLost, FakeLogFault::DoubledAnswerLost}) {
        log().failAppends(fault);
        const auto outcome = submit(zoneOut("op" + std::to_string(static_cast<int>(fault))));
        ASSERT_TRUE(outcome.verdict);
        EXPECT_TRUE(outcome.verdict->accepted);
    }
}

TEST_F(OperatorServiceTest, LogRejectsAppend_ChangeHasNoEffect)
{
    for (const FakeLogFault fault : {FakeLogFault::Unavailable, FakeLogFault::RateLimited}) {
        log().failAppends(fault);
        EXPECT_EQ(submit(zoneOut("op")).error, OperatorError::Unavailable);
        EXPECT_FALSE(isZoneOut());
    }
}

TEST_F(OperatorServiceTest, LogFrozen_OutcomeIsUnknownAndRetryUnderSameIdIsAppliedOnce)
{
    log().freeze();
    EXPECT_EQ(submit(zoneOut("op")).error, OperatorError::OutcomeUnknown);
    log().thaw();
    m_fleet.advance(Milliseconds(15000));
    EXPECT_TRUE(isZoneOut());
    const std::uint64_t end = m_fleet.logEnd();
    const SubmitOutcome again = submit(zoneOut("op"));
    ASSERT_TRUE(again.verdict);
    EXPECT_TRUE(again.verdict->accepted);
    EXPECT_EQ(m_fleet.logEnd(), end) << "a change with a verdict was appended again";
}
