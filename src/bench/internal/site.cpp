#include "bench/internal/site.h"

#include <algorithm>
#include <initializer_list>
#include <utility>

namespace lavendertally::bench {

namespace {

using configuration::PriorityClass;
using framework::Milliseconds;

constexpr int ZoneCount = 4;

struct StagePlan
{
    const char *service;
    Milliseconds time;
};

void addService(Site &site, const char *name, std::uint32_t workers, std::uint32_t concurrency,
                std::uint32_t coldConcurrency)
{
    const framework::ServiceId id{name};
    configuration::Service &service = site.configuration.services[id];
    service.id = id;
    service.concurrency = concurrency;
    service.coldConcurrency = coldConcurrency;
    service.queueLength = 2 * concurrency;
    site.workers[id] = workers;
}

void addWorkload(Site &site, const char *name, PriorityClass priority, Milliseconds deadline,
                 std::uint32_t weight, std::initializer_list<StagePlan> stages)
{
    const framework::PipelineId id{name};
    configuration::Pipeline &pipeline = site.configuration.pipelines[id];
    pipeline.id = id;
    pipeline.priority = priority;
    pipeline.deadline = deadline;
    Workload workload;
    workload.pipeline = id;
    workload.weight = weight;
    for (const StagePlan &plan : stages) {
        configuration::Stage &stage = pipeline.stages.emplace_back();
        stage.id = framework::StageId(plan.service);
        stage.service = framework::ServiceId(plan.service);
        stage.idempotent = stage.service != framework::ServiceId("action");
        workload.sharesPrefixes = stage.service == framework::ServiceId("generate");
        workload.stageTimes.push_back(plan.time);
    }
    site.workloads.push_back(std::move(workload));
}

void addCommonParts(Site &site)
{
    for (int zone = 0; zone < ZoneCount; ++zone) {
        site.configuration.zones.emplace("z" + std::to_string(zone));
    }
    addService(site, "encode", 6, 4, 1);
    addService(site, "retrieve", 6, 4, 1);
    addService(site, "rerank", 8, 4, 1);
    addService(site, "generate", 10, 16, 2);
    addService(site, "action", 5, 4, 1);
    constexpr std::uint32_t Weights[] = {40, 35, 10, 10, 5};
    for (std::uint32_t team = 0; team < std::size(Weights); ++team) {
        const framework::TeamId id("team-" + std::to_string(team));
        site.configuration.teams[id].id = id;
        site.teamWeights[id] = Weights[team];
    }
}

} // namespace

double Site::capacity() const
{
    return capacities().at(busiestService());
}

framework::ServiceId Site::busiestService() const
{
    const auto all = capacities();
    return std::min_element(all.begin(), all.end(),
                            [](const auto &a, const auto &b) { return a.second < b.second; })
        ->first;
}

std::map<framework::ServiceId, double> Site::capacities() const
{
    constexpr double SecondMs = 1000.0;
    std::map<framework::ServiceId, double> demand;
    double weights = 0.0;
    for (const Workload &workload : workloads) {
        weights += workload.weight;
        const configuration::Pipeline &plan = pipeline(workload);
        for (std::size_t stage = 0; stage < plan.stages.size(); ++stage) {
            const auto time = static_cast<double>(workload.stageTimes[stage].value());
            demand[plan.stages[stage].service] += workload.weight * time;
        }
    }
    for (auto &[service, time] : demand) {
        const double places = workers.at(service) * configuration.services.at(service).concurrency;
        time = places * SecondMs * weights / time;
    }
    return demand;
}

Site makeCooperative()
{
    Site site;
    site.name = "cooperative";
    site.callerDelay = Milliseconds(3);
    addCommonParts(site);
    addWorkload(site, "feed-plan", PriorityClass::Standard, Milliseconds(6000), 20,
                {{"encode", Milliseconds(40)},
                 {"retrieve", Milliseconds(50)},
                 {"rerank", Milliseconds(100)},
                 {"generate", Milliseconds(1200)}});
    addWorkload(site, "tank-reading", PriorityClass::Interactive, Milliseconds(5000), 25,
                {{"encode", Milliseconds(40)},
                 {"retrieve", Milliseconds(50)},
                 {"generate", Milliseconds(800)}});
    addWorkload(site, "delivery-notes", PriorityClass::Background, Milliseconds(20000), 15,
                {{"generate", Milliseconds(1500)}});
    addWorkload(site, "slot-booking", PriorityClass::Interactive, Milliseconds(2000), 15,
                {{"action", Milliseconds(60)}});
    addWorkload(site, "delivery-lookup", PriorityClass::Interactive, Milliseconds(1500), 25,
                {{"encode", Milliseconds(40)}, {"retrieve", Milliseconds(50)}});
    return site;
}

Site makeCaddo()
{
    Site site;
    site.name = "caddo";
    site.callerDelay = Milliseconds(1);
    addCommonParts(site);
    addWorkload(site, "dispute-letter", PriorityClass::Background, Milliseconds(60000), 5,
                {{"encode", Milliseconds(40)},
                 {"retrieve", Milliseconds(50)},
                 {"generate", Milliseconds(8000)}});
    addWorkload(site, "pickup-notes", PriorityClass::Standard, Milliseconds(5000), 25,
                {{"generate", Milliseconds(1000)}});
    addWorkload(site, "pallet-labels", PriorityClass::Standard, Milliseconds(2000), 30,
                {{"encode", Milliseconds(40)}, {"rerank", Milliseconds(100)}});
    addWorkload(site, "credit", PriorityClass::Standard, Milliseconds(2000), 20,
                {{"action", Milliseconds(60)}});
    addWorkload(site, "balance", PriorityClass::Interactive, Milliseconds(2000), 20,
                {{"retrieve", Milliseconds(50)}, {"generate", Milliseconds(300)}});
    return site;
}

} // namespace lavendertally::bench
