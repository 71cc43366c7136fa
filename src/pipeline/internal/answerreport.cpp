#include "pipeline/internal/answerreport.h"

#include "framework/ilogger.h"
#include "framework/imetrics.h"
#include "pipeline/requestoutcomename.h"
#include "pipeline/types/calleranswer.h"
#include "pipeline/types/callerrequest.h"
#include "pipeline/types/pipelinecontext.h"
#include "protocol/refusalreasonname.h"

namespace lavendertally::pipeline {

void reportAnswer(const PipelineContext &context, const CallerRequest &request,
                  const CallerAnswer &answer)
{
    // Callers choose the names of unknown pipelines. One shared label bounds the cardinality.
    const bool isKnown = answer.reason != protocol::RefusalReason::UnknownPipeline;
    const std::string pipeline = isKnown ? request.pipeline.value() : "unknown";
    const char *outcome = requestOutcomeName(answer.outcome);
    const char *reason = protocol::refusalReasonName(answer.reason);
    context.metrics.increment("lavendertally_requests_total",
                              {{"pipeline", pipeline},
                               {"outcome", outcome},
                               {"reason", reason},
                               {"in_time", answer.inTime ? "true" : "false"}});
    context.metrics.observe("lavendertally_request_ms", {{"pipeline", pipeline}}, answer.elapsed);
    context.logger.info("request answered",
                        {{"request", request.id.value()},
                         {"team", request.team.value()},
                         {"pipeline", request.pipeline.value()},
                         {"outcome", outcome},
                         {"reason", reason},
                         {"elapsed_ms", std::to_string(answer.elapsed.value())}});
}

} // namespace lavendertally::pipeline
