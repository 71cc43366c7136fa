#include "pipeline/internal/requestplan.h"

#include "configuration/types/configuration.h"
#include "pipeline/types/callerrequest.h"

#include <algorithm>

namespace lavendertally::pipeline {

namespace {

RequestPlan refuse(protocol::RefusalReason reason)
{
    RequestPlan plan;
    plan.refusal = reason;
    return plan;
}

bool needsClaim(const configuration::Pipeline &pipeline)
{
    return std::any_of(pipeline.stages.begin(), pipeline.stages.end(),
                       [](const configuration::Stage &stage) { return !stage.idempotent; });
}

} // namespace

RequestPlan RequestPlan::make(const CallerRequest &request,
                              const configuration::Configuration &configuration,
                              framework::TimePoint now)
{
    if (configuration.pipelines.empty()) {
        return refuse(protocol::RefusalReason::NotReady);
    }
    const auto pipeline = configuration.pipelines.find(request.pipeline);
    if (pipeline == configuration.pipelines.end()) {
        return refuse(protocol::RefusalReason::UnknownPipeline);
    }
    const auto team = configuration.teams.find(request.team);
    if (team == configuration.teams.end()) {
        return refuse(protocol::RefusalReason::UnknownTeam);
    }
    if (needsClaim(pipeline->second) && request.issuedAt == framework::TimePoint()) {
        return refuse(protocol::RefusalReason::InvalidRequest);
    }
    RequestPlan plan;
    plan.pipeline = pipeline->second;
    plan.share = team->second.share;
    const framework::Milliseconds maxDeadline = plan.pipeline.deadline;
    const bool hasDeadline = request.deadline > framework::Milliseconds(0);
    plan.deadline = now + (hasDeadline ? std::min(request.deadline, maxDeadline) : maxDeadline);
    return plan;
}

} // namespace lavendertally::pipeline
