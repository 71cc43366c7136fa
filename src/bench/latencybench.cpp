#include "bench/internal/openloop.h"
#include "bench/internal/speedfleet.h"
#include "framework/frameworkmodule.h"
#include "framework/iclock.h"
#include "framework/ieventloop.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <filesystem>
#include <iostream>

using namespace lavendertally;
using namespace lavendertally::bench;
using framework::Milliseconds;

namespace {

constexpr std::size_t Requests = 2000;
/// 200 requests a second.
constexpr Milliseconds Interval{5};
constexpr Milliseconds CallTimeout{5000};
constexpr Milliseconds IdleSettle{3000};
constexpr Milliseconds IdleWindow{10000};
constexpr std::uint32_t Concurrency = 16;
constexpr double Median = 50.0;
constexpr double NinetyNinth = 99.0;
constexpr double MicrosPerMilli = 1000.0;
constexpr double Percent = 100.0;

constexpr const char *ConfigurationText = R"(availability_zones: [z]
services:
  - {name: encoder, kind: encode, model: e, concurrency: 16, cold_concurrency: 4, queue: 64, cost_per_hour: 1.00}
  - {name: retriever, kind: retrieve, concurrency: 16, cold_concurrency: 4, queue: 64, cost_per_hour: 1.00}
  - {name: reranker, kind: rerank, model: r, concurrency: 16, cold_concurrency: 4, queue: 64, cost_per_hour: 1.00}
  - {name: writer, kind: generate, model: m, concurrency: 16, cold_concurrency: 4, queue: 64, cost_per_hour: 1.00}
pipelines:
  - name: four
    deadline: 4s
    stages:
      - {name: encode, service: encoder}
      - {name: retrieve, service: retriever, after: [encode]}
      - {name: rerank, service: reranker, after: [retrieve]}
      - {name: write, service: writer, after: [rerank], max_tokens: 2}
teams: [{name: bench, share: 1}]
)";

localfleet::FleetOptions options(const std::string &binaries, const std::string &workFolder)
{
    const auto pool = [](const char *service, const char *kind) {
        return localfleet::FleetService{
            framework::ServiceId(service), "standinpool", {"--kind", kind, "--service-ms", "2"}, 2};
    };
    localfleet::FleetOptions result;
    result.binaries = binaries;
    result.workFolder = workFolder;
    result.zones = {framework::AvailabilityZoneId("z")};
    result.services = {pool("encoder", "encode"),
                       pool("retriever", "retrieve"),
                       pool("reranker", "rerank"),
                       {framework::ServiceId("writer"),
                        "standinengine",
                        {"--model", "m", "--token-interval-ms", "2", "--prefill-ms", "2"},
                        2}};
    return result;
}

http::HttpRequest post(const framework::Endpoint &endpoint, const std::string &target,
                       const nlohmann::json &body)
{
    http::HttpRequest request;
    request.endpoint = endpoint;
    request.method = http::HttpMethod::Post;
    request.target = target;
    request.body = body.dump();
    request.timeout = CallTimeout;
    return request;
}

/// \return backend server \p index of \p service, in turn
const framework::Endpoint &backend(SpeedFleet &fleet, const std::string &service, std::size_t index)
{
    std::vector<const framework::Endpoint *> found;
    for (const localfleet::FleetHost &host : fleet.fleet().hosts()) {
        if (host.entry.service.value() == service) {
            found.push_back(&host.backendEndpoint);
        }
    }
    return *found[index % found.size()];
}

std::vector<http::HttpRequest> directChain(SpeedFleet &fleet, std::size_t index)
{
    const std::string text = std::to_string(index) + " question";
    const nlohmann::json documents = {{{"id", "d1"}, {"text", "one"}},
                                      {{"id", "d2"}, {"text", "two"}}};
    return {post(backend(fleet, "encoder", index), "/v1/encode", {{"text", text}}),
            post(backend(fleet, "retriever", index), "/v1/retrieve", {{"query", text}, {"k", 5}}),
            post(backend(fleet, "reranker", index), "/v1/rerank",
                 {{"query", text}, {"documents", documents}}),
            post(backend(fleet, "writer", index), "/v1/completions",
                 {{"model", "m"}, {"prompt", text}, {"max_tokens", 2}, {"stream", true}})};
}

std::vector<http::HttpRequest> systemChain(SpeedFleet &fleet, std::size_t index)
{
    return {post(fleet.entry(), "/v1/requests",
                 {{"request_id", "r" + std::to_string(index)},
                  {"team", "bench"},
                  {"pipeline", "four"},
                  {"input", {{"text", std::to_string(index) + " question"}}}})};
}

nlohmann::json summary(const OpenLoop &run)
{
    return {
        {"requests", run.latencies().count()},
        {"failures", run.failures()},
        {"median_ms", static_cast<double>(run.latencies().percentile(Median)) / MicrosPerMilli},
        {"p99_ms", static_cast<double>(run.latencies().percentile(NinetyNinth)) / MicrosPerMilli}};
}

nlohmann::json idleSummary(const ProcessUsage &before, const ProcessUsage &after)
{
    const auto micros = static_cast<double>(after.processorMicros - before.processorMicros);
    const double window = static_cast<double>(IdleWindow.value()) * MicrosPerMilli;
    return {{"core_percent", micros / window * Percent},
            {"resident_bytes", after.resident.value()}};
}

} // namespace

int main(int argc, char **argv)
{
    constexpr int ArgumentCount = 2;
    if (argc != ArgumentCount) {
        std::cerr << "Usage: latencybench WORK_FOLDER\n";
        return EXIT_FAILURE;
    }
    const std::string binaries = std::filesystem::absolute(argv[0]).parent_path().string();
    const auto clock = framework::FrameworkModule::makeSystemClock();
    const auto loop = framework::FrameworkModule::makeEventLoop();
    SpeedFleet fleet(*loop, *clock, options(binaries, argv[1]), ConfigurationText);
    if (!fleet.start()) {
        std::cerr << "latencybench: the fleet did not come up\n";
        return EXIT_FAILURE;
    }
    fleet.pause(IdleSettle);
    const ProcessUsage entryBefore = fleet.entryUsage();
    const ProcessUsage hostBefore = fleet.hostUsage();
    fleet.pause(IdleWindow);
    const nlohmann::json idleEntry = idleSummary(entryBefore, fleet.entryUsage());
    const nlohmann::json idleHost = idleSummary(hostBefore, fleet.hostUsage());
    if (!fleet.warmUp("four", Concurrency)) {
        std::cerr << "latencybench: the fleet did not warm up\n";
        return EXIT_FAILURE;
    }
    OpenLoop direct(*loop, fleet.fleet().client(),
                    [&](std::size_t index) { return directChain(fleet, index); });
    direct.run(Requests, Interval);
    OpenLoop system(*loop, fleet.fleet().client(),
                    [&](std::size_t index) { return systemChain(fleet, index); });
    system.run(Requests, Interval);
    const auto added = [&](double percent) {
        const std::int64_t micros =
            system.latencies().percentile(percent) - direct.latencies().percentile(percent);
        return static_cast<double>(micros) / MicrosPerMilli;
    };
    std::cout << nlohmann::json{{"benchmark", "latency"},
                                {"requests_per_second", 1000 / Interval.value()},
                                {"direct", summary(direct)},
                                {"system", summary(system)},
                                {"added_median_ms", added(Median)},
                                {"added_p99_ms", added(NinetyNinth)},
                                {"idle_entry", idleEntry},
                                {"idle_host", idleHost}}
                     .dump()
              << '\n';
    return EXIT_SUCCESS;
}
