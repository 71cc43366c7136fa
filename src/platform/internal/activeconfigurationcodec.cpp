#include "platform/activeconfigurationcodec.h"

#include "configurationcheck/types/comparedconfiguration.h"
#include "framework/types/errorcontext.h"
#include "platform/types/decodeerror.h"
#include "serving/types/servingconfiguration.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <iterator>
#include <utility>
#include <vector>

namespace lavendertally::platform {

namespace {

using nlohmann::json;

/// The members are read by programs of other builds: those of this build add members, and never
/// change one.
constexpr const char *RouteKinds[] = {"idempotent", "non_idempotent", "streaming"};

json encodeRoute(const serving::Route &route)
{
    json split = json::array();
    for (const serving::TrafficShare &share : route.split) {
        split.push_back({{"service", share.service.value()}, {"weight", share.weight}});
    }
    json stages = json::array();
    for (const serving::StagePlan &plan : route.stages) {
        stages.push_back({{"service", plan.service.value()},
                          {"after", plan.after},
                          {"result_bytes", plan.resultSize.value()}});
    }
    return {{"id", route.id.value()},
            {"host_name", route.hostName},
            {"prefix", route.prefix},
            {"kind", RouteKinds[static_cast<std::size_t>(route.kind)]},
            {"timeout_ms", route.timeout.value()},
            {"latency_objective_ms", route.latencyObjective.value()},
            {"max_event_gap_ms", route.maxEventGap.value()},
            {"priority", route.priority.value()},
            {"split", split},
            {"max_attempts", route.maxAttempts},
            {"stages", stages},
            {"is_public", route.isPublic},
            {"prompt_affinity", route.promptAffinity},
            {"resumable", route.resumable}};
}

json encodeService(const serving::ServiceSpec &service)
{
    json result = {{"id", service.id.value()},
                   {"max_connections", service.maxConnections},
                   {"cold_requests_per_second", service.coldRequestsPerSecond},
                   {"is_model_engine", service.isModelEngine}};
    if (service.stagePool) {
        const serving::StagePool &pool = *service.stagePool;
        result["stage_pool"] = {{"slots", pool.slots},
                                {"queue_limit", pool.queueLimit},
                                {"batch_size", pool.batchSize},
                                {"call_overhead_ms", pool.callOverhead.value()},
                                {"piece_time_us", pool.pieceTime.value()},
                                {"result_capacity_bytes", pool.resultCapacity.value()},
                                {"result_lifetime_ms", pool.resultLifetime.value()}};
    }
    return result;
}

json encodeTeam(const serving::TeamEntry &team)
{
    json hashes = json::array();
    for (const framework::ApiKey &key : team.keys) {
        hashes.push_back(configurationcheck::keyHash(key).value());
    }
    return {{"id", team.id.value()},
            {"priority", team.priority ? json(team.priority->value()) : json()},
            {"key_hashes", hashes}};
}

serving::RouteKind decodeKind(const std::string &name)
{
    for (std::size_t kind = 0; kind < std::size(RouteKinds); ++kind) {
        if (name == RouteKinds[kind]) {
            return static_cast<serving::RouteKind>(kind);
        }
    }
    return serving::RouteKind::NonIdempotent;
}

framework::Milliseconds milliseconds(const json &object, const char *name)
{
    return framework::Milliseconds(object.at(name).get<std::int64_t>());
}

framework::Bytes bytes(const json &object, const char *name)
{
    return framework::Bytes(object.at(name).get<std::int64_t>());
}

serving::Route decodeRoute(const json &object)
{
    serving::Route route;
    route.id = framework::RouteId(object.at("id").get<std::string>());
    route.hostName = object.at("host_name").get<std::string>();
    route.prefix = object.at("prefix").get<std::string>();
    route.kind = decodeKind(object.at("kind").get<std::string>());
    route.timeout = milliseconds(object, "timeout_ms");
    route.latencyObjective = milliseconds(object, "latency_objective_ms");
    route.maxEventGap = milliseconds(object, "max_event_gap_ms");
    route.priority = framework::PriorityRank(object.at("priority").get<std::uint64_t>());
    for (const json &share : object.at("split")) {
        route.split.push_back({framework::ServiceId(share.at("service").get<std::string>()),
                               share.at("weight").get<std::uint32_t>()});
    }
    route.maxAttempts = object.at("max_attempts").get<std::uint32_t>();
    for (const json &plan : object.at("stages")) {
        route.stages.push_back({framework::ServiceId(plan.at("service").get<std::string>()),
                                plan.at("after").get<std::vector<std::size_t>>(),
                                bytes(plan, "result_bytes")});
    }
    route.isPublic = object.at("is_public").get<bool>();
    route.promptAffinity = object.at("prompt_affinity").get<bool>();
    route.resumable = object.at("resumable").get<bool>();
    return route;
}

serving::StagePool decodePool(const json &object)
{
    serving::StagePool pool;
    pool.slots = object.at("slots").get<std::uint32_t>();
    pool.queueLimit = object.at("queue_limit").get<std::uint32_t>();
    pool.batchSize = object.at("batch_size").get<std::uint32_t>();
    pool.callOverhead = milliseconds(object, "call_overhead_ms");
    pool.pieceTime = framework::Microseconds(object.at("piece_time_us").get<std::int64_t>());
    pool.resultCapacity = bytes(object, "result_capacity_bytes");
    pool.resultLifetime = milliseconds(object, "result_lifetime_ms");
    return pool;
}

serving::ServiceSpec decodeService(const json &object)
{
    serving::ServiceSpec service;
    service.id = framework::ServiceId(object.at("id").get<std::string>());
    service.maxConnections = object.at("max_connections").get<std::uint32_t>();
    service.coldRequestsPerSecond = object.at("cold_requests_per_second").get<std::uint32_t>();
    service.isModelEngine = object.at("is_model_engine").get<bool>();
    if (object.contains("stage_pool")) {
        service.stagePool = decodePool(object.at("stage_pool"));
    }
    return service;
}

configurationcheck::ComparedTeam decodeTeam(const json &object)
{
    configurationcheck::ComparedTeam team;
    team.id = framework::TeamId(object.at("id").get<std::string>());
    if (!object.at("priority").is_null()) {
        team.priority = framework::PriorityRank(object.at("priority").get<std::uint64_t>());
    }
    for (const json &hash : object.at("key_hashes")) {
        team.keys.emplace_back(hash.get<std::string>());
    }
    return team;
}

configurationcheck::ComparedConfiguration decodeWhole(const json &object)
{
    configurationcheck::ComparedConfiguration result;
    result.version =
        framework::ConfigurationVersion(object.at("configuration").get<std::uint64_t>());
    for (const json &route : object.at("routes")) {
        result.routes.push_back(decodeRoute(route));
    }
    for (const json &service : object.at("services")) {
        result.services.push_back(decodeService(service));
    }
    const json &limits = object.at("limits");
    result.limits = {bytes(limits, "max_header_bytes"), bytes(limits, "max_body_bytes"),
                     milliseconds(limits, "header_timeout_ms"),
                     milliseconds(limits, "idle_timeout_ms")};
    const json &teams = object.at("teams");
    // Earlier builds need no key if there is no team, and name no need.
    const auto requiresKeys = object.find("requires_keys");
    if (requiresKeys == object.end() ? !teams.empty() : requiresKeys->get<bool>()) {
        result.teams.emplace();
        for (const json &team : teams) {
            result.teams->push_back(decodeTeam(team));
        }
    }
    return result;
}

} // namespace

std::string encodeActiveConfiguration(const serving::ServingConfiguration &configuration)
{
    json routes = json::array();
    for (const serving::Route &route : configuration.routes()) {
        routes.push_back(encodeRoute(route));
    }
    json services = json::array();
    for (const auto &[id, service] : configuration.services()) {
        services.push_back(encodeService(service));
    }
    json teams = json::array();
    if (configuration.teams()) {
        for (const serving::TeamEntry &team : *configuration.teams()) {
            teams.push_back(encodeTeam(team));
        }
    }
    const serving::RequestLimits &limits = configuration.limits();
    const json result = {{"configuration", configuration.version().value()},
                         {"routes", routes},
                         {"services", services},
                         {"limits",
                          {{"max_header_bytes", limits.maxHeaders.value()},
                           {"max_body_bytes", limits.maxBody.value()},
                           {"header_timeout_ms", limits.headerTimeout.value()},
                           {"idle_timeout_ms", limits.idleTimeout.value()}}},
                         {"requires_keys", configuration.requiresKeys()},
                         {"teams", teams}};
    return result.dump(-1, ' ', false, json::error_handler_t::replace);
}

framework::Result<configurationcheck::ComparedConfiguration>
decodeActiveConfiguration(std::string_view text)
{
    try {
        return decodeWhole(json::parse(text));
    } catch (const json::exception &error) {
        return framework::leaf::new_error(
            DecodeError::Malformed,
            framework::ErrorContext{std::string("the configuration in force cannot be read: ")
                                    + error.what()});
    }
}

} // namespace lavendertally::platform
