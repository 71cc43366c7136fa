#include "bench/internal/targets.h"

#include <algorithm>

namespace lavendertally::bench {

namespace {

using configuration::PriorityClass;

Tally tallyOf(const std::map<PriorityClass, Tally> &tallies, PriorityClass priority)
{
    const auto found = tallies.find(priority);
    return found == tallies.end() ? Tally() : found->second;
}

bool uses(const configuration::Pipeline &pipeline, const framework::ServiceId &service)
{
    return std::any_of(pipeline.stages.begin(), pipeline.stages.end(),
                       [&service](const auto &stage) { return stage.service == service; });
}

/// \return largest loss of attainment among the pipelines that do not use the slow service
double worstLoss(const Site &site, const framework::ServiceId &slow, const Summary &policy,
                 const Summary &undisturbed)
{
    double worst = 0.0;
    for (const auto &[id, pipeline] : site.configuration.pipelines) {
        if (!uses(pipeline, slow)) {
            const double before = undisturbed.disturbedByPipeline.at(id).attainment();
            worst = std::max(worst, before - policy.disturbedByPipeline.at(id).attainment());
        }
    }
    return worst;
}

} // namespace

std::vector<Target> judge(const Site &site, const Scenario &scenario, const Summary &policy,
                          const Summary &reference)
{
    if (scenario.name == "steady") {
        return {{"attainment", policy.all.attainment(), 0.995, true}};
    }
    if (scenario.name == "overload") {
        const auto &classes = policy.disturbedByClass;
        return {
            {"work for answers in time of capacity", policy.goodput, 0.9, true},
            {"highest class", tallyOf(classes, PriorityClass::Interactive).attainment(), 0.99,
             true},
            {"background", tallyOf(classes, PriorityClass::Background).attainment(), 0.1, true},
            {"attainment 5 s after the end", policy.recovered.attainment(), 0.99, true},
        };
    }
    if (scenario.name == "zone-outage") {
        return {{"lowest attainment in 10 s", policy.worstWindow(), 0.99, true},
                {"cold overloads", static_cast<double>(policy.coldOverloads), 0.0, false}};
    }
    if (scenario.name == "slow-stage") {
        const double loss = worstLoss(site, *scenario.slowService, policy, reference);
        return {{"loss of other pipelines", loss, 0.01, false},
                {"retries of fresh calls", policy.retryRatio, 0.1, false}};
    }
    return {
        {"cost of without deadlines", policy.costPerAnswer / reference.costPerAnswer, 1.05, false}};
}

} // namespace lavendertally::bench
