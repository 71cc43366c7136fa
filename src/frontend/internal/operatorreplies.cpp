#include "frontend/internal/operatorreplies.h"

#include "configuration/types/configurationview.h"
#include "configuration/types/filediagnostics.h"
#include "configuration/types/operationoutcome.h"
#include "http/ihttpexchange.h"

#include <nlohmann/json.hpp>

#include <set>

namespace lavendertally::frontend {

namespace {

using Json = nlohmann::json;

constexpr int HttpOk = 200;
constexpr int HttpBadRequest = 400;
constexpr int HttpConflict = 409;

void reply(http::IHttpExchange &exchange, int status, const Json &json)
{
    // Text of a refused request may hold bytes that are not UTF-8.
    const std::string body = json.dump(-1, ' ', false, Json::error_handler_t::replace);
    exchange.reply(status, "application/json", body + "\n");
}

Json errorJson(const std::string &code, const std::string &message)
{
    return {{"code", code}, {"message", message}, {"diagnostics", Json::array()}};
}

template <typename Id>
Json toJson(const std::set<Id> &ids)
{
    Json array = Json::array();
    for (const Id &id : ids) {
        array.push_back(id.value());
    }
    return array;
}

Json toJson(const control::RevisionReport &report)
{
    const bool isEntry = report.role == configuration::DaemonRole::Entry;
    return {{"daemon", report.daemon.value()},
            {"role", isEntry ? "entry" : "host"},
            {"availability_zone", report.zone.value()},
            {"revision", report.revision.value()},
            {"age_ms", report.age.value()}};
}

} // namespace

void replyError(http::IHttpExchange &exchange, int status, const std::string &code,
                const std::string &message)
{
    reply(exchange, status, {{"error", errorJson(code, message)}});
}

void replyDiagnostics(http::IHttpExchange &exchange,
                      const configuration::FileDiagnostics &diagnostics)
{
    Json error = errorJson("invalid_file", "the files are invalid; nothing was applied");
    for (const configuration::FileDiagnostic &entry : diagnostics.entries) {
        error["diagnostics"].push_back({{"file", entry.file},
                                        {"line", entry.line},
                                        {"column", entry.column},
                                        {"key", entry.key},
                                        {"expected", entry.expected}});
    }
    reply(exchange, HttpBadRequest, {{"error", error}});
}

void replyVerdict(http::IHttpExchange &exchange, const configuration::OperationOutcome &verdict)
{
    Json json = {{"operation", verdict.operation.value()},
                 {"accepted", verdict.accepted},
                 {"offset", verdict.offset.value()},
                 {"explanation", verdict.explanation}};
    if (!verdict.accepted) {
        json["error"] = errorJson("void", verdict.explanation);
    }
    reply(exchange, verdict.accepted ? HttpOk : HttpConflict, json);
}

void replyRevision(http::IHttpExchange &exchange, framework::LogOffset revision)
{
    reply(exchange, HttpOk, {{"revision", revision.value()}});
}

void replyStatus(http::IHttpExchange &exchange, const configuration::ConfigurationView &view,
                 const std::vector<control::RevisionReport> &reports)
{
    Json json = {{"revision", view.revision.value()},
                 {"zones", toJson(view.configuration.zones)},
                 {"zones_out", toJson(view.zonesOutOfService)},
                 {"hosts_out", toJson(view.hostsOutOfService)},
                 {"daemons", Json::array()}};
    for (const control::RevisionReport &report : reports) {
        json["daemons"].push_back(toJson(report));
    }
    reply(exchange, HttpOk, json);
}

} // namespace lavendertally::frontend
