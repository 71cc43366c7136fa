#include "configuration/internal/stageorder.h"

#include "configuration/internal/diagnosticsink.h"

#include <algorithm>
#include <set>

namespace lavendertally::configuration {

namespace {

bool isReady(const Stage &stage, const std::set<framework::StageId> &placed)
{
    return !placed.contains(stage.id)
        && std::all_of(stage.after.begin(), stage.after.end(),
                       [&](const framework::StageId &id) { return placed.contains(id); });
}

} // namespace

std::vector<Stage> orderStages(const std::vector<Located<Stage>> &stages, DiagnosticSink &sink)
{
    std::vector<Stage> ordered;
    std::set<framework::StageId> placed;
    while (ordered.size() < stages.size()) {
        const auto next =
            std::find_if(stages.begin(), stages.end(),
                         [&](const Located<Stage> &stage) { return isReady(stage.value, placed); });
        if (next == stages.end()) {
            break;
        }
        placed.insert(next->value.id);
        ordered.push_back(next->value);
    }
    const auto unplaced =
        std::find_if(stages.begin(), stages.end(),
                     [&](const Located<Stage> &stage) { return !placed.contains(stage.value.id); });
    if (unplaced != stages.end()) {
        sink.report(unplaced->position, unplaced->key + ".after",
                    "stages that do not wait for one another in a cycle");
    }
    return ordered;
}

} // namespace lavendertally::configuration
