#include "operatortool/internal/operatorresponses.h"

#include "framework/asyncerror.h"
#include "framework/types/errorcontext.h"
#include "http/types/httpresponse.h"
#include "operatortool/types/toolerror.h"

#include <nlohmann/json.hpp>

namespace lavendertally::operatortool {

namespace {

using Json = nlohmann::json;

constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int Conflict = 409;
constexpr int Unavailable = 503;

template <typename T>
framework::Result<T> unavailable(const std::string &message)
{
    return framework::asyncError<T>(ToolError::Unavailable, framework::ErrorContext{message});
}

std::string describe(const http::HttpResponse &response)
{
    switch (response.end) {
    case http::HttpEnd::NotSent:
    case http::HttpEnd::NoConnection:
    case http::HttpEnd::Rejected:
        return "the daemon cannot be reached";
    case http::HttpEnd::RejectedAfterSend:
    case http::HttpEnd::Broken:
        return "the connection broke";
    case http::HttpEnd::Malformed:
        return "the daemon sent no HTTP response";
    case http::HttpEnd::TimedOut:
        return "the daemon did not answer in time";
    case http::HttpEnd::Complete:
        break;
    }
    return "the daemon answered status " + std::to_string(response.status);
}

configuration::FileDiagnostic readDiagnostic(const Json &json)
{
    return {json.at("file").get<std::string>(), json.at("line").get<int>(),
            json.at("column").get<int>(), json.at("key").get<std::string>(),
            json.at("expected").get<std::string>()};
}

ChangeOutcome readVerdict(const Json &json, ChangeStatus status)
{
    ChangeOutcome outcome;
    outcome.status = status;
    outcome.offset = framework::LogOffset(json.at("offset").get<std::uint64_t>());
    outcome.explanation = json.at("explanation").get<std::string>();
    return outcome;
}

ChangeOutcome readError(const Json &json, ChangeStatus status)
{
    ChangeOutcome outcome;
    outcome.status = status;
    const Json &error = json.at("error");
    outcome.explanation = error.at("message").get<std::string>();
    for (const Json &diagnostic : error.at("diagnostics")) {
        outcome.diagnostics.entries.push_back(readDiagnostic(diagnostic));
    }
    return outcome;
}

ChangeOutcome readAnswer(int status, const Json &json)
{
    switch (status) {
    case Ok:
        return readVerdict(json, ChangeStatus::Applied);
    case Conflict:
        return readVerdict(json, ChangeStatus::Void);
    case BadRequest:
        return readError(json, ChangeStatus::Refused);
    case Unavailable:
        return readError(json, ChangeStatus::NotApplied);
    default:
        return readError(json, ChangeStatus::Unknown);
    }
}

} // namespace

ChangeOutcome readOutcome(const http::HttpResponse &response)
{
    ChangeOutcome outcome;
    outcome.explanation = describe(response);
    if (http::isUnsent(response.end)) {
        outcome.status = ChangeStatus::NotApplied;
        return outcome;
    }
    if (response.end != http::HttpEnd::Complete) {
        return outcome;
    }
    try {
        return readAnswer(response.status, Json::parse(response.body));
    } catch (const Json::exception &) {
        // An answer in another form says nothing about the change.
        return outcome;
    }
}

framework::Result<std::string> readJsonBody(const http::HttpResponse &response)
{
    if (response.end != http::HttpEnd::Complete || response.status != Ok) {
        return unavailable<std::string>(describe(response));
    }
    if (!Json::accept(response.body)) {
        return unavailable<std::string>("the daemon's answer is not JSON");
    }
    return response.body;
}

framework::Result<framework::LogOffset> readRevisionBody(const http::HttpResponse &response)
{
    BOOST_LEAF_AUTO(body, readJsonBody(response));
    const Json json = Json::parse(body);
    if (!json.is_object() || !json.contains("revision") || !json["revision"].is_number_unsigned()) {
        return unavailable<framework::LogOffset>("the daemon's answer has no revision");
    }
    return framework::LogOffset(json["revision"].get<std::uint64_t>());
}

} // namespace lavendertally::operatortool
