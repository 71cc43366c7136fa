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
struct SubmitResult
{
    bool called = false;
    std::optional<configuration::OperationOutcome> outcome;
    OperatorError error = OperatorError::InvalidChange;
};

configuration::OperatorChange zoneOut(const std::string &operation)
{
    configuration::OperatorChange change;
    change.operation = framework::OperationId(operation);
    change.change = configuration::SetZoneOutOfService{framework::AvailabilityZoneId("z0"), true};
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

    SubmitResult submit(const configuration::OperatorChange &change)
    {
        SubmitResult submitted;
        m_service->submit(
            change, Timeout, [&](framework::Result<configuration::OperationOutcome> result) {
                EXPECT_FALSE(submitted.called);
                submitted.called = true;
                if (result) {
                    submitted.outcome = result.value();
                } else {
                    submitted.error =
                        framework::errorOf(std::move(result), OperatorError::InvalidChange);
                }
            });
        EXPECT_FALSE(submitted.called) << "callback was called from within submit()";
        m_fleet.advance(Timeout + Milliseconds(100));
        EXPECT_TRUE(submitted.called);
        return submitted;
    }

    bool isZoneOut()
    {
        const auto &out = m_fleet.process(0).replica->current()->zonesOutOfService;
        return out.contains(framework::AvailabilityZoneId("z0"));
    }

    ControlFleet m_fleet{1, 0, 1, 1};
    std::unique_ptr<configuration::IControlRecordCodec> m_codec =
        configuration::ConfigurationModule::makeRecordCodec();
    std::unique_ptr<IOperatorService> m_service;
};

TEST_F(OperatorServiceTest, ChangeSubmitted_IsInForceWhenOutcomeArrives)
{
    const SubmitResult submitted = submit(zoneOut("op"));
    ASSERT_TRUE(submitted.outcome);
    EXPECT_TRUE(submitted.outcome->accepted);
    EXPECT_TRUE(isZoneOut());
}

TEST_F(OperatorServiceTest, AppendAnswerLost_OutcomeComesFromTheLog)
{
    for (const FakeLogFault fault : {FakeLogFault::AnswerLost, FakeLogFault::DoubledAnswerLost}) {
        log().failAppends(fault);
        const auto submitted = submit(zoneOut("op" + std::to_string(static_cast<int>(fault))));
        ASSERT_TRUE(submitted.outcome);
        EXPECT_TRUE(submitted.outcome->accepted);
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
    const SubmitResult again = submit(zoneOut("op"));
    ASSERT_TRUE(again.outcome);
    EXPECT_TRUE(again.outcome->accepted);
    EXPECT_EQ(m_fleet.logEnd(), end) << "a change with an outcome was appended again";
}
