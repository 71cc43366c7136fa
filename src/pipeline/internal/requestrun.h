#pragma once

#include "claims/types/claimanswer.h"
#include "claims/types/claimkey.h"
#include "configuration/types/pipeline.h"
#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "pipeline/internal/istageattemptobserver.h"
#include "pipeline/internal/payloadbuilder.h"
#include "pipeline/internal/requestplan.h"
#include "pipeline/irequestservice.h"
#include "pipeline/types/calleranswer.h"
#include "pipeline/types/callerrequest.h"
#include "retry/types/failurekind.h"

#include <cstdint>
#include <memory>
#include <set>

namespace lavendertally::framework {
class ITimer;
}

namespace lavendertally::quarantine {
class IPromptWatch;
struct PartAssessment;
} // namespace lavendertally::quarantine

namespace lavendertally::pipeline {

class IRequestObserver;
class RequestService;
class StageAttempt;
struct PipelineContext;

/// Runs one request through its pipeline: the stages in sequence, each with as many attempts as
/// the retry policy allows, all under one deadline.
class RequestRun final : public std::enable_shared_from_this<RequestRun>,
                         public IStageAttemptObserver
{
public:
    RequestRun(RequestService &service, IRequestService::Ticket ticket, CallerRequest request,
               IRequestObserver &observer);
    ~RequestRun() override;
    RequestRun(const RequestRun &) = delete;
    RequestRun &operator=(const RequestRun &) = delete;

    /// Starts the request in a later iteration of the event loop, so that the observer is not
    /// called before IRequestService::start() returns.
    void schedule();

    /// Detaches the observer; see IRequestService::abandon().
    void abandon();

    /// \return the current attempt if its stage is idempotent, otherwise null
    const StageAttempt *repeatableAttempt() const;

    /// Fails the current attempt with StageStatus::Unknown, like a broken connection.
    /// \param detail human-readable cause
    void failAttempt(const std::string &detail);

private:
    void begin();

    void runStage();
    void claimStage();
    void onClaim(const claims::ClaimAnswer &answer);
    void startAttempt();
    void retryOrGiveUp(retry::FailureKind failure, protocol::RefusalReason reason,
                       const std::string &detail);

    void onAttemptText(const std::string &text) override;
    void onAttemptResult(const protocol::StageResult &result) override;
    void onStageDone(const protocol::StageResult &result);
    void onNotRun(const protocol::StageResult &result);
    void onUnknown(const protocol::StageResult &result);
    /// Reports to the quarantine that the last attempt was lost.
    /// \return whether the prompt may be the cause
    bool isLossSuspected(const protocol::StageResult &result);
    void awaitExplanation(const protocol::StageResult &result);
    void advance(const std::string &result);
    void restartText(const StageAttempt &attempt);

    void onDeadline();
    void giveUp(protocol::RefusalReason reason, const std::string &detail,
                framework::Milliseconds retryAfter = {});
    void giveUpQuarantined(const quarantine::PartAssessment &assessment);
    void finish(CallerAnswer answer);
    void deliver(CallerAnswer answer);
    void end();

    const configuration::Stage &stage() const { return m_plan.pipeline.stages[m_stageIndex]; }
    bool isLastStage() const { return m_stageIndex + 1 == m_plan.pipeline.stages.size(); }
    bool generates() const { return stage().maxTokens > framework::TokenCount(0); }
    bool streamsStage() const;
    claims::ClaimKey claimKey() const;
    framework::Milliseconds remaining() const;
    std::uint64_t prefixHash() const;

    RequestService &m_service;
    const PipelineContext &m_context;
    IRequestService::Ticket m_ticket;
    CallerRequest m_request;
    /// Null once the caller has received its answer or has disconnected.
    IRequestObserver *m_observer;
    framework::TimePoint m_startedAt;
    RequestPlan m_plan;
    PayloadBuilder m_payload;
    std::unique_ptr<quarantine::IPromptWatch> m_watch;

    std::size_t m_stageIndex = 0;
    std::uint32_t m_attempts = 0;
    framework::Milliseconds m_backoff;
    std::set<framework::HostId> m_excludedHosts;
    bool m_holdsClaim = false;
    /// Whether any stage has run or may have run.
    bool m_anyStageRan = false;
    /// Whether a non-idempotent stage has run or may have run.
    bool m_nonIdempotentStageRan = false;
    std::vector<StageCost> m_costs;
    std::unique_ptr<StageAttempt> m_attempt;
    std::unique_ptr<framework::ITimer> m_deadlineTimer;
    std::unique_ptr<framework::ITimer> m_timer;
};

} // namespace lavendertally::pipeline
