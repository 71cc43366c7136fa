#include "framework/frameworkmodule.h"
#include "framework/irandom.h"
#include "ratelimit/testing/testratelimits.h"
#include "stages/stagesmodule.h"
#include "stages/testing/largepools.h"
#include "stages/testing/stageloadsimulation.h"

#include <chrono>
#include <iomanip>
#include <iostream>

namespace lavendertally::bench {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::uint64_t Seed = 1;
constexpr framework::Milliseconds Duration{10000};

/// Prints the processor time that the coordinator and the simulation around it take for each job.
void measure(double load)
{
    stages::LargePools pools;
    const auto random = framework::FrameworkModule::makeRandom(Seed);
    const auto arrivals = stages::LargePools::arrivals(*random, load, Duration);
    ratelimit::TestRateLimits rateLimits;
    const auto coordinator = stages::StagesModule::makeCoordinator(pools.serving(), pools.servers(),
                                                                   rateLimits.limits());
    stages::StageLoadSimulation simulation(pools.serving(), *coordinator);
    const Clock::time_point start = Clock::now();
    simulation.run(arrivals);
    const double microseconds =
        std::chrono::duration<double, std::micro>(Clock::now() - start).count();
    const stages::StageLoadResult total = simulation.total();
    const auto jobs = static_cast<double>(total.submitted);
    std::cout << std::fixed << std::setprecision(2) << "load " << load << ": " << total.submitted
              << " jobs, " << static_cast<double>(total.inTime) / jobs << " in time, "
              << static_cast<double>(total.refused) / jobs << " refused, " << microseconds / jobs
              << " us a job\n";
}

} // namespace
} // namespace lavendertally::bench

int main()
{
    for (const double load : {0.25, 0.5, 1.0, 2.0, 3.0}) {
        lavendertally::bench::measure(load);
    }
    return 0;
}
