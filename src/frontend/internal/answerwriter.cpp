#include "frontend/internal/answerwriter.h"

#include "pipeline/requestoutcomename.h"
#include "pipeline/types/calleranswer.h"
#include "protocol/refusalreasonname.h"

#include <nlohmann/json.hpp>

namespace lavendertally::frontend {

namespace {

constexpr int HttpOk = 200;
constexpr int HttpBadRequest = 400;
constexpr int HttpForbidden = 403;
constexpr int HttpNotFound = 404;
constexpr int HttpTooLarge = 413;
constexpr int HttpBadGateway = 502;
constexpr int HttpUnavailable = 503;
constexpr int HttpGatewayTimeout = 504;

int refusalStatus(protocol::RefusalReason reason)
{
    switch (reason) {
    case protocol::RefusalReason::InvalidRequest:
        return HttpBadRequest;
    case protocol::RefusalReason::UnknownTeam:
        return HttpForbidden;
    case protocol::RefusalReason::UnknownPipeline:
        return HttpNotFound;
    case protocol::RefusalReason::TooLarge:
        return HttpTooLarge;
    case protocol::RefusalReason::DeadlineUnreachable:
        return HttpGatewayTimeout;
    default:
        return HttpUnavailable;
    }
}

nlohmann::json stagesJson(const pipeline::CallerAnswer &answer)
{
    nlohmann::json stages = nlohmann::json::array();
    for (const pipeline::StageCost &stage : answer.stages) {
        stages.push_back({{"stage", stage.stage.value()},
                          {"cost", stage.cost.value()},
                          {"wasted_cost", stage.wasted.value()},
                          {"duration_ms", stage.duration.value()},
                          {"attempts", stage.attempts}});
    }
    return stages;
}

} // namespace

int AnswerWriter::status(const pipeline::CallerAnswer &answer)
{
    switch (answer.outcome) {
    case pipeline::RequestOutcome::Done:
        return HttpOk;
    case pipeline::RequestOutcome::NotRun:
        return refusalStatus(answer.reason);
    case pipeline::RequestOutcome::Unknown:
        return HttpBadGateway;
    }
    return HttpBadGateway;
}

const char *AnswerWriter::outcomeName(const pipeline::CallerAnswer &answer)
{
    return pipeline::requestOutcomeName(answer.outcome);
}

std::string AnswerWriter::json(const framework::RequestId &requestId,
                               const pipeline::CallerAnswer &answer)
{
    nlohmann::json document = {{"request_id", requestId.value()},
                               {"outcome", outcomeName(answer)},
                               {"elapsed_ms", answer.elapsed.value()},
                               {"in_time", answer.inTime},
                               {"stages", stagesJson(answer)}};
    if (answer.outcome != pipeline::RequestOutcome::Done) {
        document["reason"] = protocol::refusalReasonName(answer.reason);
        document["detail"] = answer.detail;
        document["safe_to_repeat"] = answer.safeToRepeat;
    }
    std::string text = document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (!answer.result.empty()) {
        text.pop_back();
        text += R"(,"result":)" + answer.result + "}";
    }
    return text;
}

} // namespace lavendertally::frontend
