#include "configuration/internal/fragmentparser.h"

#include "configuration/internal/diagnosticsink.h"
#include "configuration/internal/pipelinereader.h"
#include "configuration/internal/scalartypes.h"
#include "configuration/internal/yamldocument.h"
#include "configuration/internal/yamlmapping.h"
#include "configuration/types/configurationerror.h"

#include <limits>
#include <utility>

namespace lavendertally::configuration {

namespace {

constexpr std::uint32_t MaxConcurrency = 65536;
constexpr std::uint32_t MaxQueueLength = 1000000;
constexpr std::uint32_t MaxShare = 1000000;

void readZones(YamlMapping &root, DiagnosticSink &sink, ConfigurationFragment &fragment)
{
    static const auto scalar = idType<framework::AvailabilityZoneId>(nameType());
    const std::string key = "availability_zones";
    const std::vector<YAML::Node> items = root.list(key);
    for (std::size_t i = 0; i < items.size(); ++i) {
        framework::AvailabilityZoneId zone;
        const FilePosition position = toPosition(items[i].Mark());
        if (root.readScalar(items[i], position, root.itemPath(key, i), scalar, zone)) {
            fragment.zones.push_back({std::move(zone), position, root.itemPath(key, i)});
        }
    }
    if (root.has(key) && items.empty() && sink.isEmpty()) {
        sink.report(root.positionOf(key), key, "at least one zone");
    }
}

void checkService(const YamlMapping &mapping, const Service &service, DiagnosticSink &sink)
{
    if (service.coldConcurrency > service.concurrency) {
        sink.report(mapping.positionOf("cold_concurrency"), mapping.pathOf("cold_concurrency"),
                    "at most the concurrency of the service");
    }
    if (service.kind == ServiceKind::Generate && service.model.isEmpty()) {
        sink.report(mapping.positionOf("model"), mapping.pathOf("model"),
                    "the model of a service of kind generate");
    }
    if (service.kind == ServiceKind::Action && !service.model.isEmpty()) {
        sink.report(mapping.positionOf("model"), mapping.pathOf("model"),
                    "no model for a service of kind action");
    }
}

Service readService(YamlMapping &mapping, DiagnosticSink &sink)
{
    static const auto idScalar = idType<framework::ServiceId>(nameType());
    static const auto modelScalar = idType<framework::ModelId>(modelNameType());
    static const auto kindScalar = choiceType<ServiceKind>({{"encode", ServiceKind::Encode},
                                                            {"retrieve", ServiceKind::Retrieve},
                                                            {"rerank", ServiceKind::Rerank},
                                                            {"generate", ServiceKind::Generate},
                                                            {"action", ServiceKind::Action}});
    static const auto concurrencyScalar = countType(1, MaxConcurrency);
    static const auto queueScalar = countType(0, MaxQueueLength);
    static const auto costScalar = costType();
    static const auto booleanScalar = booleanType();
    Service service;
    mapping.readRequired("name", idScalar, service.id);
    mapping.readRequired("kind", kindScalar, service.kind);
    mapping.readOptional("model", modelScalar, service.model);
    mapping.readRequired("concurrency", concurrencyScalar, service.concurrency);
    mapping.readOptional("cold_concurrency", concurrencyScalar, service.coldConcurrency);
    mapping.readOptional("queue", queueScalar, service.queueLength);
    mapping.readRequired("cost_per_hour", costScalar, service.costPerHour);
    mapping.readOptional("checks_fencing", booleanScalar, service.checksFencing);
    mapping.reportUnknownKeys();
    checkService(mapping, service, sink);
    return service;
}

Team readTeam(YamlMapping &mapping)
{
    static const auto idScalar = idType<framework::TeamId>(nameType());
    static const auto shareScalar = countType(1, MaxShare);
    Team team;
    mapping.readRequired("name", idScalar, team.id);
    mapping.readOptional("share", shareScalar, team.share);
    mapping.reportUnknownKeys();
    return team;
}

void readServices(YamlMapping &root, DiagnosticSink &sink, ConfigurationFragment &fragment)
{
    const std::vector<YAML::Node> items = root.list("services");
    for (std::size_t i = 0; i < items.size(); ++i) {
        YamlMapping mapping(items[i], root.itemPath("services", i), sink);
        Service service = readService(mapping, sink);
        fragment.services.push_back(
            {std::move(service), mapping.positionOf("name"), mapping.pathOf("name")});
    }
}

void readTeams(YamlMapping &root, DiagnosticSink &sink, ConfigurationFragment &fragment)
{
    const std::vector<YAML::Node> items = root.list("teams");
    fragment.teams.reserve(items.size());
    for (std::size_t i = 0; i < items.size(); ++i) {
        YamlMapping mapping(items[i], root.itemPath("teams", i), sink);
        Team team = readTeam(mapping);
        fragment.teams.push_back(
            {std::move(team), mapping.positionOf("name"), mapping.pathOf("name")});
    }
}

void readPipelines(YamlMapping &root, DiagnosticSink &sink, ConfigurationFragment &fragment)
{
    const std::vector<YAML::Node> items = root.list("pipelines");
    for (std::size_t i = 0; i < items.size(); ++i) {
        YamlMapping mapping(items[i], root.itemPath("pipelines", i), sink);
        readPipeline(mapping, sink, fragment);
    }
}

void readObjective(YamlMapping &root, ConfigurationFragment &fragment)
{
    static const auto scalar =
        choiceType<Objective>({{"attainment", Objective::Attainment}, {"cost", Objective::Cost}});
    const std::string key = "objective";
    Objective objective{};
    root.readOptional(key, scalar, objective);
    if (root.has(key)) {
        fragment.objective = Located<Objective>{objective, root.positionOf(key), key};
    }
}

} // namespace

framework::Result<std::shared_ptr<const ConfigurationFragment>>
parseFragment(const std::string &file, const std::string &text)
{
    DiagnosticSink sink(file);
    auto fragment = std::make_shared<ConfigurationFragment>();
    fragment->file = file;
    if (const auto document = parseDocument(text, sink)) {
        YamlMapping root(*document, "", sink);
        readZones(root, sink, *fragment);
        readServices(root, sink, *fragment);
        readPipelines(root, sink, *fragment);
        readTeams(root, sink, *fragment);
        readObjective(root, *fragment);
        root.reportUnknownKeys();
    }
    if (!sink.isEmpty()) {
        return framework::leaf::new_error(ConfigurationError::InvalidFile, sink.diagnostics());
    }
    return std::shared_ptr<const ConfigurationFragment>(std::move(fragment));
}

} // namespace lavendertally::configuration
