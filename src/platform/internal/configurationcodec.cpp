#include "platform/internal/configurationcodec.h"

#include "framework/types/errorcontext.h"
#include "platform/internal/jsonfields.h"
#include "platform/types/decodeerror.h"
#include "serving/types/servingconfiguration.h"

#include <cmath>
#include <utility>

namespace lavendertally::platform {

namespace {

using serving::Route;
using serving::ServiceSpec;

constexpr double MillisecondsPerSecond = 1000.0;
constexpr double MicrosecondsPerMillisecond = 1000.0;
constexpr double BytesPerMegabyte = 1e6;

/// Collects the first problem of all parts of a configuration.
class Problems
{
public:
    void note(const JsonFields &fields)
    {
        if (m_first.empty()) {
            m_first = fields.problem();
        }
    }
    void note(std::string problem)
    {
        if (m_first.empty()) {
            m_first = std::move(problem);
        }
    }
    const std::string &first() const { return m_first; }

private:
    std::string m_first;
};

framework::Milliseconds milliseconds(double value)
{
    return framework::Milliseconds(std::llround(value));
}

serving::RouteKind readKind(const std::string &name, Problems &problems)
{
    if (name == "idempotent") {
        return serving::RouteKind::Idempotent;
    }
    if (name == "streaming") {
        return serving::RouteKind::Streaming;
    }
    if (name != "non_idempotent") {
        problems.note("routeKind " + name + " is not known");
    }
    return serving::RouteKind::NonIdempotent;
}

std::vector<serving::TrafficShare> readSplit(JsonFields &fields, Problems &problems)
{
    std::vector<serving::TrafficShare> split;
    if (fields.find("trafficSplit") == nullptr) {
        split.push_back({framework::ServiceId(fields.text("service")), 1});
        return split;
    }
    for (const auto &json : fields.array("trafficSplit")) {
        JsonFields share(json, "trafficSplit");
        const framework::ServiceId service(share.text("service"));
        const std::int64_t weight = share.integer("weight");
        problems.note(share);
        if (weight > 0) {
            split.push_back({service, static_cast<std::uint32_t>(weight)});
        }
    }
    if (split.empty()) {
        problems.note("trafficSplit names no service");
    }
    return split;
}

std::vector<serving::StagePlan> readStages(JsonFields &fields, Problems &problems)
{
    std::vector<serving::StagePlan> stages;
    if (fields.find("stages") == nullptr) {
        return stages;
    }
    for (const auto &json : fields.array("stages")) {
        JsonFields stage(json, "stages");
        serving::StagePlan plan;
        plan.service = framework::ServiceId(stage.text("service"));
        plan.resultSize = framework::Bytes(std::llround(stage.numberOr("bytes", 0.0)));
        if (stage.find("after") != nullptr) {
            for (const auto &index : stage.array("after")) {
                if (!index.is_number_unsigned() || index.get<std::size_t>() >= stages.size()) {
                    problems.note("a stage is after one that does not come before it");
                    continue;
                }
                plan.after.push_back(index.get<std::size_t>());
            }
        }
        problems.note(stage);
        stages.push_back(std::move(plan));
    }
    return stages;
}

Route readRoute(const nlohmann::json &json, Problems &problems)
{
    JsonFields fields(json, "routes");
    Route route;
    route.id = framework::RouteId(fields.text("name"));
    route.hostName = fields.text("hostname");
    route.prefix = fields.text("pathPrefix");
    const std::string kind = fields.text("routeKind");
    if (!kind.empty()) {
        route.kind = readKind(kind, problems);
    }
    route.timeout = milliseconds(fields.number("timeoutMs"));
    route.latencyObjective = milliseconds(
        fields.numberOr("targetLatencyMs", static_cast<double>(route.timeout.value())));
    route.maxEventGap = milliseconds(fields.numberOr("targetGapMs", 0.0));
    route.priority =
        framework::PriorityRank(static_cast<std::uint64_t>(fields.integerOr("priority", 0)));
    route.split = readSplit(fields, problems);
    route.maxAttempts = static_cast<std::uint32_t>(fields.integerOr("maxAttempts", 1));
    route.stages = readStages(fields, problems);
    route.isPublic = fields.flagOr("public", false);
    // The wire calls it affinity of sessions; a session is the last shared part of a prompt.
    route.promptAffinity = fields.flagOr("sessionAffinity", false);
    route.resumable = fields.flagOr("streamResume", false);
    problems.note(fields);
    return route;
}

serving::StagePool readStagePool(const nlohmann::json &json, Problems &problems)
{
    JsonFields fields(json, "pieces");
    serving::StagePool pool;
    pool.slots = static_cast<std::uint32_t>(fields.integer("slots"));
    pool.queueLimit = static_cast<std::uint32_t>(fields.integerOr("queueLimit", 0));
    pool.batchSize = static_cast<std::uint32_t>(fields.integer("batchSize"));
    pool.callOverhead = milliseconds(fields.number("callMs"));
    pool.pieceTime =
        framework::Microseconds(std::llround(fields.number("itemMs") * MicrosecondsPerMillisecond));
    // Room for results, not memory left over.
    pool.resultCapacity =
        framework::Bytes(std::llround(fields.number("headroomMb") * BytesPerMegabyte));
    pool.resultLifetime = milliseconds(fields.number("handleS") * MillisecondsPerSecond);
    problems.note(fields);
    if (pool.slots == 0 || pool.batchSize == 0) {
        problems.note("pieces: slots and batchSize must be greater than zero");
    }
    return pool;
}

ServiceSpec readService(const nlohmann::json &json, Problems &problems)
{
    JsonFields fields(json, "services");
    ServiceSpec service;
    service.id = framework::ServiceId(fields.text("name"));
    service.maxConnections = static_cast<std::uint32_t>(fields.integerOr("maxConnections", 0));
    service.coldRequestsPerSecond =
        static_cast<std::uint32_t>(std::llround(fields.numberOr("coldPerS", 0.0)));
    if (const nlohmann::json *pieces = fields.find("pieces")) {
        service.stagePool = readStagePool(*pieces, problems);
    }
    service.isModelEngine = fields.find("engineKind") != nullptr;
    problems.note(fields);
    return service;
}

serving::RequestLimits readLimits(const nlohmann::json *json, Problems &problems)
{
    serving::RequestLimits limits;
    if (json == nullptr) {
        return limits;
    }
    JsonFields fields(*json, "limits");
    limits.maxHeaders =
        framework::Bytes(fields.integerOr("maxHeaderBytes", limits.maxHeaders.value()));
    limits.maxBody = framework::Bytes(fields.integerOr("maxBodyBytes", limits.maxBody.value()));
    limits.headerTimeout =
        framework::Milliseconds(fields.integerOr("headerTimeoutMs", limits.headerTimeout.value()));
    limits.idleTimeout =
        framework::Milliseconds(fields.integerOr("idleTimeoutMs", limits.idleTimeout.value()));
    problems.note(fields);
    return limits;
}

serving::TeamEntry readTeam(const nlohmann::json &json, Problems &problems)
{
    JsonFields fields(json, "tenants");
    serving::TeamEntry team;
    team.id = framework::TeamId(fields.text("name"));
    if (fields.find("priority") != nullptr) {
        team.priority =
            framework::PriorityRank(static_cast<std::uint64_t>(fields.integer("priority")));
    }
    for (const auto &key : fields.array("apiKeys")) {
        if (key.is_string()) {
            team.keys.emplace_back(key.get<std::string>());
        }
    }
    problems.note(fields);
    return team;
}

} // namespace

framework::Result<std::shared_ptr<const serving::ServingConfiguration>>
decodeConfiguration(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    JsonFields fields(json, "configuration");
    Problems problems;
    const framework::ConfigurationVersion version(
        static_cast<std::uint64_t>(fields.integer("version")));
    std::vector<Route> routes;
    for (const auto &route : fields.array("routes")) {
        routes.push_back(readRoute(route, problems));
    }
    std::vector<ServiceSpec> services;
    for (const auto &service : fields.array("services")) {
        services.push_back(readService(service, problems));
    }
    std::vector<serving::TeamEntry> teams;
    if (const nlohmann::json *tenants = fields.find("tenants"); tenants && tenants->is_array()) {
        for (const auto &team : *tenants) {
            teams.push_back(readTeam(team, problems));
        }
    }
    const serving::RequestLimits limits = readLimits(fields.find("limits"), problems);
    problems.note(fields);
    if (!problems.first().empty()) {
        return framework::leaf::new_error(DecodeError::Malformed,
                                          framework::ErrorContext{problems.first()});
    }
    return std::shared_ptr<const serving::ServingConfiguration>(
        std::make_shared<serving::ServingConfiguration>(
            version, std::move(routes), std::move(services), limits, std::move(teams)));
}

} // namespace lavendertally::platform
