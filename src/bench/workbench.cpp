#include "bench/internal/modelload.h"
#include "bench/internal/modelsimulation.h"
#include "bench/internal/modelsummary.h"

#include <array>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

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

/// Prints the processor time of one choice and the report of its call.
void measureCost(ModelPolicyKind kind)
{
    constexpr std::size_t Rounds = 20000;
    constexpr std::size_t InFlight = 50;
    std::vector<ModelServer> servers;
    for (ModelServerSpec &spec : makeModelServers(1.0, 1)) {
        servers.emplace_back(std::move(spec));
    }
    ModelLoad load;
    load.requestsPerSecond = 500.0;
    load.durationMs = 10000.0;
    const auto requests = drawModelRequests(load);
    const auto policy = makeModelPolicy(kind, servers, 0, 1);
    for (std::size_t server = 0; server < servers.size(); ++server) {
        policy->observeLoad(server, {10, 2, 64, 100}, 0.0);
    }
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t round = 0; round < Rounds; ++round) {
        const auto now = static_cast<double>(round);
        policy->send(round, requests[round % requests.size()], now);
        if (round >= InFlight) {
            policy->eventReceived(round - InFlight, true, now);
            policy->ended(round - InFlight, true, now);
        }
    }
    const std::chrono::duration<double, std::micro> taken =
        std::chrono::steady_clock::now() - start;
    std::cout << nameOf(kind) << ": " << taken.count() / Rounds
              << " us for a choice among 58 servers with all that is reported of its call\n";
}

} // namespace
} // namespace lavendertally::bench

/// Usage: workbench cost | [SEED] [shared|answers] [GATEWAYS] [LOAD]
int main(int argc, char **argv)
{
    using namespace lavendertally::bench;
    if (argc > 1 && std::string(argv[1]) == "cost") {
        measureCost(ModelPolicyKind::Today);
        measureCost(ModelPolicyKind::Work);
        return EXIT_SUCCESS;
    }
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
