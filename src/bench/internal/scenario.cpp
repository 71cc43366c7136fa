#include "bench/internal/scenario.h"

namespace lavendertally::bench {

namespace {

using framework::Milliseconds;
using framework::TimePoint;

constexpr TimePoint MeasuredStart{120000};
constexpr TimePoint DisturbanceStart{140000};

Scenario makeScenario(const char *name, double load, Milliseconds disturbance,
                      Milliseconds afterwards)
{
    Scenario scenario;
    scenario.name = name;
    scenario.load = [load](Milliseconds /*since*/) { return load; };
    scenario.disturbance = {DisturbanceStart, DisturbanceStart + disturbance};
    scenario.measured = {MeasuredStart, scenario.disturbance.end + afterwards};
    return scenario;
}

} // namespace

std::vector<Scenario> makeScenarios()
{
    constexpr double SteadyLoad = 0.7;
    constexpr double Overload = 2.0;
    constexpr double OutageLoad = 0.65;
    constexpr double LowLoad = 0.1;

    std::vector<Scenario> scenarios;
    scenarios.push_back(
        makeScenario("steady", SteadyLoad, Milliseconds(30000), Milliseconds(60000)));

    Scenario overload =
        makeScenario("overload", SteadyLoad, Milliseconds(60000), Milliseconds(40000));
    overload.load = [span = overload.disturbance](Milliseconds since) {
        return span.contains(TimePoint(since.value())) ? Overload : SteadyLoad;
    };
    scenarios.push_back(overload);

    Scenario outage =
        makeScenario("zone-outage", OutageLoad, Milliseconds(40000), Milliseconds(60000));
    outage.zoneOut = framework::AvailabilityZoneId("z1");
    scenarios.push_back(outage);

    Scenario slow =
        makeScenario("slow-stage", SteadyLoad, Milliseconds(30000), Milliseconds(30000));
    slow.slowService = framework::ServiceId("rerank");
    scenarios.push_back(slow);

    scenarios.push_back(
        makeScenario("low-load", LowLoad, Milliseconds(30000), Milliseconds(60000)));
    return scenarios;
}

} // namespace lavendertally::bench
