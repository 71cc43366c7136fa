#include "configuration/internal/pipelinereader.h"

#include "configuration/internal/configurationfragment.h"
#include "configuration/internal/diagnosticsink.h"
#include "configuration/internal/scalartypes.h"
#include "configuration/internal/stageorder.h"
#include "configuration/internal/yamlmapping.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace lavendertally::configuration {

namespace {

constexpr std::size_t MaxStages = 32;
constexpr std::uint32_t MaxTokens = 1000000;

Stage readStage(YamlMapping &mapping)
{
    static const auto idScalar = idType<framework::StageId>(nameType());
    static const auto serviceScalar = idType<framework::ServiceId>(nameType());
    static const auto booleanScalar = booleanType();
    static const auto tokensScalar = countType(1, MaxTokens);
    Stage stage;
    std::uint32_t maxTokens = 0;
    mapping.readRequired("name", idScalar, stage.id);
    mapping.readRequired("service", serviceScalar, stage.service);
    mapping.readList("after", idScalar, stage.after);
    mapping.readOptional("idempotent", booleanScalar, stage.idempotent);
    mapping.readOptional("max_tokens", tokensScalar, maxTokens);
    mapping.reportUnknownKeys();
    stage.maxTokens = framework::TokenCount(maxTokens);
    return stage;
}

void checkDependencies(const std::vector<Located<Stage>> &stages, DiagnosticSink &sink)
{
    std::set<framework::StageId> known;
    for (const auto &stage : stages) {
        if (!known.insert(stage.value.id).second) {
            sink.report(stage.position, stage.key + ".name",
                        "a name that no other stage of the pipeline has");
        }
    }
    for (const auto &stage : stages) {
        std::set<framework::StageId> needed;
        for (const framework::StageId &name : stage.value.after) {
            if (!known.contains(name)) {
                sink.report(stage.position, stage.key + ".after",
                            "stages of this pipeline; '" + name.value() + "' is not one");
            }
            if (!needed.insert(name).second) {
                sink.report(stage.position, stage.key + ".after", "each stage at most once");
            }
        }
    }
}

/// Reads the stages in the order of the file and records their uses of services in the fragment.
std::vector<Located<Stage>> readStages(YamlMapping &mapping, DiagnosticSink &sink,
                                       ConfigurationFragment &fragment)
{
    std::vector<Located<Stage>> stages;
    const std::vector<YAML::Node> items = mapping.list("stages");
    if (items.empty() || items.size() > MaxStages) {
        sink.report(mapping.positionOf("stages"), mapping.pathOf("stages"),
                    "a list of 1 to 32 stages");
        return stages;
    }
    for (std::size_t i = 0; i < items.size(); ++i) {
        YamlMapping item(items[i], mapping.itemPath("stages", i), sink);
        Stage stage = readStage(item);
        StageUse use{stage.service, stage.maxTokens, item.has("idempotent")};
        fragment.stageUses.push_back(
            {std::move(use), item.positionOf("service"), item.pathOf("service")});
        stages.push_back({std::move(stage), item.position(), mapping.itemPath("stages", i)});
    }
    return stages;
}

} // namespace

void readPipeline(YamlMapping &mapping, DiagnosticSink &sink, ConfigurationFragment &fragment)
{
    static const auto idScalar = idType<framework::PipelineId>(nameType());
    static const auto durationScalar = durationType();
    static const auto priorityScalar =
        choiceType<PriorityClass>({{"interactive", PriorityClass::Interactive},
                                   {"standard", PriorityClass::Standard},
                                   {"background", PriorityClass::Background}});
    Pipeline pipeline;
    mapping.readRequired("name", idScalar, pipeline.id);
    mapping.readRequired("deadline", durationScalar, pipeline.deadline);
    mapping.readOptional("priority", priorityScalar, pipeline.priority);
    const std::vector<Located<Stage>> stages = readStages(mapping, sink, fragment);
    mapping.reportUnknownKeys();
    checkDependencies(stages, sink);
    if (sink.isEmpty()) {
        pipeline.stages = orderStages(stages, sink);
    }
    fragment.pipelines.push_back(
        {std::move(pipeline), mapping.positionOf("name"), mapping.pathOf("name")});
}

} // namespace lavendertally::configuration
