#include "platform/internal/configurationdecoder.h"

#include "platform/internal/entryreader.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>
#include <utility>

namespace lavendertally::platform {

namespace {

using configurationcheck::Rule;

constexpr std::int64_t MillisecondsPerSecond = 1000;
constexpr std::int64_t MicrosecondsPerMillisecond = 1000;
constexpr std::int64_t BytesPerMegabyte = 1000000;
constexpr double MaxColdLimit = 9007199254740992.0;

std::string itemPath(const std::string &list, std::size_t index)
{
    return list + "[" + std::to_string(index) + "]";
}

/// \return the service's cold limit in requests per second; zero means no limit
std::uint32_t readColdLimit(EntryReader &fields)
{
    const nlohmann::json *written = fields.find("coldPerS");
    if (written != nullptr && written->is_number() && written->get<double>() < 0.0) {
        fields.report(Rule::ToleratedValue, "coldPerS", "is negative");
        // A cast of a number outside the range of the type would be undefined.
        const double bounded = std::max(written->get<double>(), -MaxColdLimit);
        return static_cast<std::uint32_t>(std::llround(bounded));
    }
    const std::int64_t limit = fields.amountOr("coldPerS", 0);
    if (limit > std::numeric_limits<std::uint32_t>::max()) {
        fields.report(Rule::OutOfRange, "coldPerS", "is too large");
        return 0;
    }
    if (limit == 0 && written != nullptr && written->is_number() && written->get<double>() > 0.0) {
        fields.report(Rule::ColdLimitTooLow, "coldPerS",
                      "is rounded to zero, which means no limit");
    }
    return static_cast<std::uint32_t>(limit);
}

} // namespace

ConfigurationDecoder::ConfigurationDecoder(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_discarded()) {
        m_findings.push_back({Rule::UnreadableFile, "", "is not JSON", {}});
        return;
    }
    if (!json.is_object()) {
        m_findings.push_back({Rule::UnreadableFile, "", "is not a JSON object", {}});
        return;
    }
    readConfiguration(json);
}

void ConfigurationDecoder::readConfiguration(const nlohmann::json &json)
{
    EntryReader fields(json, "", m_findings);
    m_draft.version =
        framework::ConfigurationVersion(static_cast<std::uint64_t>(fields.integer("version")));
    std::size_t index = 0;
    for (const auto &route : fields.list("routes")) {
        readRoute(route, itemPath("routes", index++));
    }
    index = 0;
    for (const auto &service : fields.list("services")) {
        readService(service, itemPath("services", index++));
    }
    readTeams(fields);
    if (const nlohmann::json *limits = fields.find("limits")) {
        readLimits(*limits);
    }
    fields.reportMisspelt();
}

void ConfigurationDecoder::readRoute(const nlohmann::json &json, const std::string &path)
{
    EntryReader fields(json, path, m_findings);
    serving::Route route;
    route.id = framework::RouteId(fields.text("name"));
    route.hostName = fields.text("hostname");
    route.prefix = fields.text("pathPrefix");
    route.kind = readKind(fields);
    route.timeout = fields.time("timeoutMs");
    route.latencyObjective =
        framework::Milliseconds(fields.amountOr("targetLatencyMs", route.timeout.value()));
    route.maxEventGap = framework::Milliseconds(fields.amountOr("targetGapMs", 0));
    if (fields.find("priority") != nullptr) {
        route.priority = framework::PriorityRank(fields.wrappingInteger("priority"));
    }
    route.split = readSplit(fields);
    route.maxAttempts = fields.wrappingCountOr("maxAttempts", 1);
    route.stages = readStages(fields);
    route.isPublic = fields.flagOr("public", false);
    // The wire calls it affinity of sessions; a session is the last shared part of a prompt.
    route.promptAffinity = fields.flagOr("sessionAffinity", false);
    route.resumable = fields.flagOr("streamResume", false);
    fields.reportMisspelt();
    m_draft.routes.push_back(std::move(route));
}

serving::RouteKind ConfigurationDecoder::readKind(EntryReader &fields)
{
    const std::string name = fields.text("routeKind");
    if (name == "idempotent") {
        return serving::RouteKind::Idempotent;
    }
    if (name == "streaming") {
        return serving::RouteKind::Streaming;
    }
    // An empty kind has always been taken for the strictest one.
    if (!name.empty() && name != "non_idempotent") {
        fields.report(Rule::UnknownName, "routeKind", "'" + name + "' is not a known kind");
    }
    return serving::RouteKind::NonIdempotent;
}

std::vector<serving::TrafficShare> ConfigurationDecoder::readSplit(EntryReader &fields)
{
    if (fields.find("trafficSplit") == nullptr) {
        m_names.addRoute({});
        const std::size_t known = m_findings.size();
        const framework::ServiceId service(fields.text("service"));
        if (service.value().empty() && m_findings.size() == known) {
            fields.report(Rule::ToleratedValue, "service", "is empty, so no request is served");
        }
        return {{service, 1}};
    }
    std::vector<serving::TrafficShare> split;
    WireEntryNames::SharePositions positions;
    const nlohmann::json &shares = fields.list("trafficSplit");
    bool hasBadShare = !fields.find("trafficSplit")->is_array();
    for (std::size_t index = 0; index < shares.size(); ++index) {
        const std::size_t known = m_findings.size();
        const std::string path = itemPath(fields.pathOf("trafficSplit"), index);
        EntryReader share(shares[index], path, m_findings);
        const framework::ServiceId service(share.text("service"));
        const nlohmann::json *written = share.find("weight");
        const bool isNegative =
            written != nullptr && written->is_number_integer() && written->get<double>() < 0.0;
        const std::uint32_t weight = isNegative ? 0 : share.count("weight");
        if (m_findings.size() > known) {
            hasBadShare = true;
        } else if (weight == 0) {
            share.report(Rule::ShareWithoutWeight, "weight",
                         "is not above zero, so no request goes to service " + service.value());
        } else {
            split.push_back({service, weight});
            positions.push_back(index);
        }
    }
    if (split.empty() && !hasBadShare) {
        fields.report(Rule::OutOfRange, "trafficSplit", "gives no service a weight above zero");
    }
    m_names.addRoute(std::move(positions));
    return split;
}

std::vector<serving::StagePlan> ConfigurationDecoder::readStages(EntryReader &fields)
{
    std::vector<serving::StagePlan> stages;
    for (const auto &json : fields.listOrEmpty("stages")) {
        EntryReader stage(json, itemPath(fields.pathOf("stages"), stages.size()), m_findings);
        serving::StagePlan plan;
        plan.service = framework::ServiceId(stage.text("service"));
        plan.resultSize = framework::Bytes(stage.amountOr("bytes", 0));
        plan.after = readAfter(stage);
        stage.reportMisspelt();
        stages.push_back(std::move(plan));
    }
    return stages;
}

std::vector<std::size_t> ConfigurationDecoder::readAfter(EntryReader &stage)
{
    std::vector<std::size_t> after;
    std::size_t position = 0;
    for (const auto &index : stage.listOrEmpty("after")) {
        if (index.is_number_unsigned()) {
            after.push_back(index.get<std::size_t>());
        } else {
            stage.report(Rule::WrongType, itemPath("after", position),
                         "is not the position of a stage");
        }
        ++position;
    }
    return after;
}

serving::StagePool ConfigurationDecoder::readPool(const nlohmann::json &json,
                                                  const std::string &path)
{
    EntryReader fields(json, path, m_findings);
    serving::StagePool pool;
    const std::size_t known = m_findings.size();
    pool.slots = fields.count("slots");
    if (pool.slots == 0 && m_findings.size() == known) {
        fields.report(Rule::OutOfRange, "slots", "must be greater than zero");
    }
    pool.queueLimit = fields.wrappingCountOr("queueLimit", 0);
    const std::size_t beforeBatch = m_findings.size();
    pool.batchSize = fields.count("batchSize");
    if (pool.batchSize == 0 && m_findings.size() == beforeBatch) {
        fields.report(Rule::OutOfRange, "batchSize", "must be greater than zero");
    }
    pool.callOverhead = fields.time("callMs");
    pool.pieceTime = framework::Microseconds(fields.amount("itemMs", MicrosecondsPerMillisecond));
    // Room for results, not memory left over.
    pool.resultCapacity = framework::Bytes(fields.amount("headroomMb", BytesPerMegabyte));
    pool.resultLifetime = framework::Milliseconds(fields.amount("handleS", MillisecondsPerSecond));
    fields.reportMisspelt();
    return pool;
}

void ConfigurationDecoder::readService(const nlohmann::json &json, const std::string &path)
{
    EntryReader fields(json, path, m_findings);
    serving::ServiceSpec service;
    service.id = framework::ServiceId(fields.text("name"));
    service.maxConnections = fields.wrappingCountOr("maxConnections", 0);
    service.coldRequestsPerSecond = readColdLimit(fields);
    if (const nlohmann::json *pieces = fields.find("pieces")) {
        service.stagePool = readPool(*pieces, fields.pathOf("pieces"));
    }
    service.isModelEngine = fields.find("engineKind") != nullptr;
    fields.reportMisspelt();
    m_draft.services.push_back(std::move(service));
}

void ConfigurationDecoder::readLimits(const nlohmann::json &json)
{
    EntryReader fields(json, "limits", m_findings);
    serving::RequestLimits &limits = m_draft.limits;
    limits.maxHeaders =
        framework::Bytes(fields.integerOr("maxHeaderBytes", limits.maxHeaders.value()));
    limits.maxBody = framework::Bytes(fields.integerOr("maxBodyBytes", limits.maxBody.value()));
    limits.headerTimeout =
        framework::Milliseconds(fields.integerOr("headerTimeoutMs", limits.headerTimeout.value()));
    limits.idleTimeout =
        framework::Milliseconds(fields.integerOr("idleTimeoutMs", limits.idleTimeout.value()));
    fields.reportMisspelt();
}

/// Requests need a key if the member is there, whatever it holds: programs write an empty list as
/// null, too.
void ConfigurationDecoder::readTeams(EntryReader &fields)
{
    if (!fields.contains("tenants")) {
        return;
    }
    m_draft.teams.emplace();
    std::size_t index = 0;
    for (const auto &team : fields.listOrEmpty("tenants")) {
        readTeam(team, itemPath("tenants", index++));
    }
}

void ConfigurationDecoder::readTeam(const nlohmann::json &json, const std::string &path)
{
    EntryReader fields(json, path, m_findings);
    serving::TeamEntry team;
    team.id = framework::TeamId(fields.text("name"));
    if (fields.find("priority") != nullptr) {
        team.priority = framework::PriorityRank(fields.wrappingInteger("priority"));
    }
    std::size_t index = 0;
    for (const auto &key : fields.list("apiKeys")) {
        if (key.is_string()) {
            team.keys.emplace_back(key.get<std::string>());
        } else {
            fields.report(Rule::ToleratedValue, itemPath("apiKeys", index),
                          "is not a text, and is skipped");
        }
        ++index;
    }
    fields.reportMisspelt();
    m_draft.teams->push_back(std::move(team));
}

} // namespace lavendertally::platform
