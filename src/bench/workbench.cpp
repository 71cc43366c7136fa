#include "bench/internal/modelload.h"
#include "bench/internal/modelsimulation.h"
#include "bench/internal/modelsummary.h"

#include <array>
#include <cstdlib>
#include <iostream>
#include <string>

namespace lavendertally::bench {
namespace {

constexpr double DurationMs = 40000.0;
/// Time that answers which were begun in time take at most.
constexpr double DrainMs = 8000.0;
constexpr std::array Loads = {0.5, 0.8, 1.1};
constexpr std::array Policies = {ModelPolicyKind::Today, ModelPolicyKind::Calls,
                                 ModelPolicyKind::Work, ModelPolicyKind::Knowing};

void play(double load, ReportMode reports, std::size_t gateways, std::uint64_t seed)
{
    const auto specs = makeModelServers(DurationMs + DrainMs, seed);
    ModelLoad modelLoad;
    modelLoad.requestsPerSecond = load * capacityOf(specs);
    modelLoad.durationMs = DurationMs;
    modelLoad.gateways = gateways;
    modelLoad.seed = seed;
    const auto requests = drawModelRequests(modelLoad);
    std::cout << "load " << load << ", " << modelLoad.requestsPerSecond << " requests/s, "
              << gateways << " gateways, seed " << seed << ", reports "
              << (reports == ReportMode::Shared ? "100 ms old" : "with answers") << '\n';
    std::array<ModelSummary, Policies.size()> summaries;
    ModelSummary::printHeader(std::cout);
    for (std::size_t index = 0; index < Policies.size(); ++index) {
        ModelSimulation simulation(requests, specs, gateways, Policies[index], reports, seed);
        simulation.run(DurationMs + DrainMs);
        summaries[index] = ModelSummary(requests, simulation);
        summaries[index].print(std::cout, nameOf(Policies[index]));
    }
    const double today = summaries.front().shareInTime();
    const double knowing = summaries.back().shareInTime();
    const double work = summaries[2].shareInTime();
    std::cout << "distance closed: " << (work - today) / (knowing - today) << "\n\n";
}

} // namespace
} // namespace lavendertally::bench

/// Usage: workbench [SEED] [shared|answers] [GATEWAYS] [LOAD]
int main(int argc, char **argv)
{
    using namespace lavendertally::bench;
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    const bool withAnswers = argc > 2 && std::string(argv[2]) == "answers";
    const std::size_t gateways = argc > 3 ? std::strtoull(argv[3], nullptr, 10) : 26;
    const double onlyLoad = argc > 4 ? std::strtod(argv[4], nullptr) : 0.0;
    for (const double load : Loads) {
        if (onlyLoad > 0.0 && load != onlyLoad) {
            continue;
        }
        play(load, withAnswers ? ReportMode::WithAnswers : ReportMode::Shared, gateways, seed);
    }
    return EXIT_SUCCESS;
}
