#include "demo/internal/demorun.h"

#include "framework/iclock.h"
#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "framework/types/errorcontext.h"
#include "localfleet/childprocess.h"
#include "localfleet/types/fleeterror.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <iomanip>
#include <iostream>
#include <map>
#include <sstream>

namespace lavendertally::demo {

namespace {

using framework::Milliseconds;
using localfleet::FleetHost;
using localfleet::LoadAnswer;

constexpr Milliseconds PollInterval{20};
constexpr Milliseconds WaitLimit{10000};
constexpr Milliseconds ExitLimit{10000};
constexpr Milliseconds ZoneOutBound{3000};
constexpr Milliseconds RequestInterval{25};
constexpr std::size_t RequestsPerWorkload = 10;
constexpr std::size_t RequestsWhileZoneMoves = 80;
constexpr double MicrosPerUnit = 1e6;

localfleet::FleetOptions fleetOptions(const DemoUser &user, const std::string &binaries,
                                      const std::string &workFolder)
{
    localfleet::FleetOptions options;
    options.binaries = binaries;
    options.workFolder = workFolder;
    options.zones = user.zones;
    options.services = user.services;
    return options;
}

/// \return sum of the samples of metric \p name in Prometheus text
std::uint64_t metricSum(const std::string &text, const std::string &name)
{
    std::uint64_t sum = 0;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(name + "{") || line.starts_with(name + " ")) {
            sum += std::stoull(line.substr(line.rfind(' ') + 1));
        }
    }
    return sum;
}

} // namespace

DemoRun::DemoRun(framework::IEventLoop &loop, const framework::IClock &clock, DemoUser user,
                 const std::string &binaries, std::string repository, const std::string &workFolder)
    : m_loop(loop), m_clock(clock), m_user(std::move(user)), m_repository(std::move(repository)),
      m_fleet(loop, fleetOptions(m_user, binaries, workFolder))
{ }

std::vector<std::string> DemoRun::run()
{
    std::cout << "\n== " << m_user.name << "\n";
    framework::leaf::try_handle_all(
        [this]() -> framework::Result<void> {
            BOOST_LEAF_CHECK(m_fleet.start());
            applySamples();
            serveWorkloads();
            moveZone();
            checkLedger();
            stopAll();
            return {};
        },
        [this](localfleet::FleetError /*error*/, const framework::ErrorContext &context) {
            fail(context.message);
        },
        [this] { fail("the fleet did not start"); });
    return m_failures;
}

void DemoRun::applySamples()
{
    const std::string folder = m_repository + "/" + m_user.samples + "/";
    const int status = m_fleet.runTool(
        {"apply", folder + "services.yaml", folder + "pipelines.yaml", folder + "teams.yaml"});
    if (status != 0) {
        fail("apply ended with status " + std::to_string(status));
        return;
    }
    const std::uint64_t revision = entryRevision();
    waitFor("the configuration to be in force everywhere",
            [&] { return inForceEverywhere(revision); });
    std::cout << "configuration in force in " << m_fleet.entries().size() + m_fleet.hosts().size()
              << " daemons\n";
}

std::uint64_t DemoRun::entryRevision()
{
    const auto reply = m_fleet.get(m_fleet.entries().front().entry.http, "/dump");
    const auto dump = nlohmann::json::parse(reply.body, nullptr, false);
    return dump.is_object() ? dump.value("revision", std::uint64_t{0}) : 0;
}

bool DemoRun::inForceEverywhere(std::uint64_t revision)
{
    const auto knows = [&](const FleetHost &host) {
        const auto reply = m_fleet.get(host.entry.http, "/dump");
        const auto dump = nlohmann::json::parse(reply.body, nullptr, false);
        return dump.is_object() && dump.value("revision", std::uint64_t{0}) >= revision;
    };
    return std::all_of(m_fleet.entries().begin(), m_fleet.entries().end(), knows)
        && std::all_of(m_fleet.hosts().begin(), m_fleet.hosts().end(), knows);
}

std::vector<LoadAnswer> DemoRun::runLoad(const std::string &name, std::size_t count,
                                         Milliseconds interval)
{
    std::vector<framework::Endpoint> entries;
    for (const FleetHost &entry : m_fleet.entries()) {
        entries.push_back(entry.entry.http);
    }
    localfleet::LoadRunner load(m_loop, m_fleet.client(), m_clock, name, entries, m_user.workloads);
    load.start(count, interval, [this] { m_loop.stop(); });
    m_loop.run();
    checkAnswers(load.answers());
    return load.answers();
}

void DemoRun::serveWorkloads()
{
    const auto answers =
        runLoad("serve", RequestsPerWorkload * m_user.workloads.size(), RequestInterval);
    printTable(answers);
    repeatOne();
}

void DemoRun::repeatOne()
{
    // The same request through another entry must bring the first result, not a second effect.
    std::vector<framework::Endpoint> entries;
    for (const FleetHost &entry : m_fleet.entries()) {
        entries.push_back(entry.entry.http);
    }
    std::vector<localfleet::Workload> ledgerOnly;
    std::copy_if(
        m_user.workloads.begin(), m_user.workloads.end(), std::back_inserter(ledgerOnly),
        [this](const auto &workload) { return workload.pipeline == m_user.ledgerPipeline; });
    localfleet::LoadRunner load(m_loop, m_fleet.client(), m_clock, "repeat", entries, ledgerOnly);
    load.start(1, RequestInterval, [this] { m_loop.stop(); });
    m_loop.run();
    ++m_effects;
    LoadAnswer second;
    load.repeat(load.answers().front(), 1, [&](LoadAnswer answer) {
        second = std::move(answer);
        m_loop.stop();
    });
    m_loop.run();
    const auto first = nlohmann::json::parse(load.answers().front().body, nullptr, false);
    const auto repeated = nlohmann::json::parse(second.body, nullptr, false);
    if (!first.contains("result") || !repeated.contains("result")
        || first["result"] != repeated["result"]) {
        fail("a repeated request did not bring its first result: " + second.body);
    }
}

void DemoRun::checkAnswers(const std::vector<LoadAnswer> &answers)
{
    for (const LoadAnswer &answer : answers) {
        const localfleet::Workload &workload = m_user.workloads[answer.workload];
        const auto document = nlohmann::json::parse(answer.body, nullptr, false);
        const bool done = document.is_object() && document.value("outcome", "") == "done"
            && document.value("in_time", false) && document.contains("result");
        if (!done) {
            fail(workload.pipeline.value() + " was not answered as it should be: "
                 + std::to_string(answer.status) + " " + answer.body);
        }
        if (workload.pipeline == m_user.ledgerPipeline) {
            ++m_effects;
        }
    }
}

void DemoRun::printTable(const std::vector<LoadAnswer> &answers) const
{
    struct Row
    {
        std::size_t requests = 0;
        std::size_t done = 0;
        std::vector<std::int64_t> elapsed;
        std::map<std::string, double> cost;
    };
    std::map<std::size_t, Row> rows;
    for (const LoadAnswer &answer : answers) {
        Row &row = rows[answer.workload];
        const auto document = nlohmann::json::parse(answer.body, nullptr, false);
        ++row.requests;
        row.done += document.value("outcome", "") == "done" ? 1 : 0;
        row.elapsed.push_back(answer.elapsed.value());
        for (const auto &stage : document.value("stages", nlohmann::json::array())) {
            row.cost[stage["stage"]] += stage["cost"].get<double>() / MicrosPerUnit;
        }
    }
    std::cout << std::left << std::setw(26) << "workload" << std::right << std::setw(6) << "sent"
              << std::setw(6) << "done" << std::setw(10) << "median" << std::setw(10) << "slowest"
              << "  cost by stage (of all)\n";
    for (auto &[workload, row] : rows) {
        std::sort(row.elapsed.begin(), row.elapsed.end());
        std::cout << std::left << std::setw(26) << m_user.workloads[workload].pipeline.value()
                  << std::right << std::setw(6) << row.requests << std::setw(6) << row.done
                  << std::setw(7) << row.elapsed[row.elapsed.size() / 2] << " ms" << std::setw(7)
                  << row.elapsed.back() << " ms ";
        for (const auto &[stage, cost] : row.cost) {
            std::cout << ' ' << stage << '=' << std::fixed << std::setprecision(6) << cost;
        }
        std::cout << '\n';
    }
}

std::uint64_t DemoRun::callsInZone(const framework::AvailabilityZoneId &zone)
{
    std::uint64_t calls = 0;
    for (const FleetHost &host : m_fleet.hosts()) {
        if (host.entry.zone == zone) {
            const auto reply = m_fleet.get(host.entry.http, "/metrics");
            calls += metricSum(reply.body, "lavendertally_service_ms_count");
        }
    }
    return calls;
}

void DemoRun::moveZone()
{
    const framework::AvailabilityZoneId zone = m_user.zones[1];
    if (m_fleet.runTool({"zone", "out", zone.value()}) != 0) {
        fail("zone out failed");
    }
    runLoad("leaving", RequestsWhileZoneMoves, RequestInterval);
    pause(ZoneOutBound - RequestInterval * static_cast<std::int64_t>(RequestsWhileZoneMoves));
    const std::uint64_t before = callsInZone(zone);
    runLoad("out", RequestsWhileZoneMoves, RequestInterval);
    const std::uint64_t after = callsInZone(zone);
    std::cout << "zone " << zone << " out: " << after - before << " calls to it beyond "
              << ZoneOutBound << " ms\n";
    if (after != before) {
        fail("a zone that is out received work");
    }
    if (m_fleet.runTool({"zone", "in", zone.value()}) != 0) {
        fail("zone in failed");
    }
    runLoad("back", RequestsWhileZoneMoves, RequestInterval);
    const std::uint64_t back = callsInZone(zone) - after;
    std::cout << "zone " << zone << " back: " << back << " calls to it\n";
    if (back == 0) {
        fail("a zone that came back received no work");
    }
}

void DemoRun::checkLedger()
{
    std::size_t ran = 0;
    for (const FleetHost &host : m_fleet.hosts()) {
        if (host.entry.service != m_user.ledgerService) {
            continue;
        }
        const auto reply = m_fleet.get(host.backendEndpoint, "/v1/ledger");
        const auto ledger = nlohmann::json::parse(reply.body, nullptr, false);
        for (const auto &operation : ledger.value("operations", nlohmann::json::array())) {
            // A balance enquiry leaves a trace in the stand-in, but has no effect.
            ran += operation.dump().find("account") == std::string::npos ? 1 : 0;
        }
    }
    std::cout << m_user.ledgerPipeline << ": " << m_effects << " requests, " << ran << " effects\n";
    if (ran != m_effects) {
        fail("effects and requests differ");
    }
}

void DemoRun::stopAll()
{
    for (auto *group : {&m_fleet.entries(), &m_fleet.hosts()}) {
        for (FleetHost &host : *group) {
            host.daemon->signal(SIGTERM);
        }
    }
    for (auto *group : {&m_fleet.entries(), &m_fleet.hosts()}) {
        for (FleetHost &host : *group) {
            if (host.daemon->wait(ExitLimit) != 0) {
                fail(host.entry.id.value() + " did not end with status 0");
            }
        }
    }
}

void DemoRun::pause(Milliseconds time)
{
    const auto timer = m_loop.callAfter(time, [this] { m_loop.stop(); });
    m_loop.run();
}

void DemoRun::waitFor(const std::string &what, const std::function<bool()> &condition)
{
    const framework::TimePoint end = m_clock.now() + WaitLimit;
    while (!condition()) {
        if (m_clock.now() >= end) {
            fail("waited in vain for " + what);
            return;
        }
        pause(PollInterval);
    }
}

} // namespace lavendertally::demo
