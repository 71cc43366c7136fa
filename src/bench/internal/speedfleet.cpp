#include "bench/internal/speedfleet.h"

#include "framework/iclock.h"
#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "localfleet/childprocess.h"
#include "localfleet/loadrunner.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>

namespace lavendertally::bench {

namespace {

constexpr framework::Milliseconds PollInterval{50};
constexpr int MaxPolls = 200;
constexpr int MaxWarmUpRounds = 60;
constexpr int WarmUpTexts = 97;

} // namespace

SpeedFleet::SpeedFleet(framework::IEventLoop &loop, const framework::IClock &clock,
                       const localfleet::FleetOptions &options, const std::string &configuration)
    : m_loop(loop), m_clock(clock), m_fleet(loop, options),
      m_file(options.workFolder + "/configuration.yaml")
{
    std::ofstream(m_file) << configuration;
}

bool SpeedFleet::start()
{
    if (!m_fleet.start() || m_fleet.runTool({"apply", m_file}) != 0) {
        return false;
    }
    for (int poll = 0; poll < MaxPolls; ++poll) {
        if (allHosts("revision", 1)) {
            return true;
        }
        pause(PollInterval);
    }
    return false;
}

bool SpeedFleet::allHosts(const std::string &member, std::uint64_t least)
{
    auto &hosts = m_fleet.hosts();
    return std::all_of(hosts.begin(), hosts.end(), [&](const localfleet::FleetHost &host) {
        const auto reply = m_fleet.get(host.entry.http, "/dump");
        const auto dump = nlohmann::json::parse(reply.body, nullptr, false);
        return dump.is_object() && dump.value(member, std::uint64_t{0}) >= least;
    });
}

bool SpeedFleet::warmUp(const std::string &pipeline, std::uint32_t limit)
{
    // Different texts, since requests with the same prefix go to the same backend server.
    std::vector<localfleet::Workload> workloads;
    workloads.reserve(WarmUpTexts);
    for (int text = 0; text < WarmUpTexts; ++text) {
        workloads.push_back({framework::PipelineId(pipeline), framework::TeamId("bench"),
                             '"' + std::to_string(text) + " warm\""});
    }
    const std::size_t requests = m_fleet.hosts().size() * limit;
    for (int round = 0; round < MaxWarmUpRounds; ++round) {
        localfleet::LoadRunner load(m_loop, m_fleet.client(), m_clock,
                                    "warm-up-" + std::to_string(round), {entry()}, workloads);
        load.start(requests, framework::Milliseconds(1), [this] { m_loop.stop(); });
        m_loop.run();
        if (allHosts("limit", limit)) {
            return true;
        }
    }
    return false;
}

void SpeedFleet::pause(framework::Milliseconds time)
{
    const auto timer = m_loop.callAfter(time, [this] { m_loop.stop(); });
    m_loop.run();
}

ProcessUsage SpeedFleet::entryUsage()
{
    return ProcessUsage::of(m_fleet.entries().front().daemon->pid());
}

ProcessUsage SpeedFleet::hostUsage()
{
    return ProcessUsage::of(m_fleet.hosts().front().daemon->pid());
}

} // namespace lavendertally::bench
