#include "bench/internal/speedfleet.h"
#include "bench/internal/streamcounter.h"
#include "framework/frameworkmodule.h"
#include "framework/iclock.h"
#include "framework/ieventloop.h"
#include "http/types/httprequest.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <memory>
#include <vector>

using namespace lavendertally;
using namespace lavendertally::bench;
using framework::Milliseconds;

namespace {

constexpr std::size_t Streams = 240;
constexpr std::uint32_t Backends = 5;
constexpr std::uint32_t Concurrency = 64;
constexpr Milliseconds RampUp{1500};
constexpr Milliseconds Window{5000};
constexpr Milliseconds RequestTimeout{60000};
constexpr double MicrosPerMilli = 1000.0;
constexpr double Percent = 100.0;

constexpr const char *ConfigurationText = R"(availability_zones: [z]
services:
  - {name: writer, kind: generate, model: m, concurrency: 64, cold_concurrency: 8, queue: 64, cost_per_hour: 1.00}
pipelines:
  - name: warm
    deadline: 20s
    stages: [{name: write, service: writer, max_tokens: 1}]
  - name: long
    deadline: 60s
    stages: [{name: write, service: writer, max_tokens: 4000}]
teams: [{name: bench, share: 1}]
)";

localfleet::FleetOptions options(const std::string &binaries, const std::string &workFolder,
                                 const std::string &tokenInterval)
{
    localfleet::FleetOptions result;
    result.binaries = binaries;
    result.workFolder = workFolder;
    result.zones = {framework::AvailabilityZoneId("z")};
    result.services = {
        {framework::ServiceId("writer"),
         "standinengine",
         {"--model", "m", "--token-interval-ms", tokenInterval, "--batch-slowdown-percent", "0"},
         Backends}};
    return result;
}

http::HttpRequest streamRequest(const framework::Endpoint &entry, std::size_t index)
{
    http::HttpRequest request;
    request.endpoint = entry;
    request.method = http::HttpMethod::Post;
    request.target = "/v1/requests";
    request.timeout = RequestTimeout;
    // Different texts, so that prefix affinity spreads them.
    const std::string text = std::to_string(index) + " stream";
    request.body = nlohmann::json{{"request_id", "stream-" + std::to_string(index)},
                                  {"team", "bench"},
                                  {"pipeline", "long"},
                                  {"stream", true},
                                  {"input", {{"text", text}}}}
                       .dump();
    return request;
}

std::uint64_t sumEvents(const std::vector<std::unique_ptr<StreamCounter>> &streams)
{
    std::uint64_t sum = 0;
    for (const auto &stream : streams) {
        sum += stream->events();
    }
    return sum;
}

std::size_t countOpen(const std::vector<std::unique_ptr<StreamCounter>> &streams)
{
    std::size_t open = 0;
    for (const auto &stream : streams) {
        open += stream->isEnded() ? 0 : 1;
    }
    return open;
}

} // namespace

int main(int argc, char **argv)
{
    constexpr int ArgumentCount = 3;
    if (argc != ArgumentCount) {
        std::cerr << "Usage: relaybench WORK_FOLDER TOKEN_INTERVAL_MS\n";
        return EXIT_FAILURE;
    }
    const std::string binaries = std::filesystem::absolute(argv[0]).parent_path().string();
    const auto clock = framework::FrameworkModule::makeSystemClock();
    const auto loop = framework::FrameworkModule::makeEventLoop();
    SpeedFleet fleet(*loop, *clock, options(binaries, argv[1], argv[2]), ConfigurationText);
    if (!fleet.start() || !fleet.warmUp("warm", Concurrency)) {
        std::cerr << "relaybench: the fleet did not come up or warm up\n";
        return EXIT_FAILURE;
    }
    std::vector<std::unique_ptr<StreamCounter>> streams;
    for (std::size_t i = 0; i < Streams; ++i) {
        streams.push_back(std::make_unique<StreamCounter>(fleet.fleet().client(),
                                                          streamRequest(fleet.entry(), i)));
    }
    fleet.pause(RampUp);
    const framework::TimePoint begin = clock->now();
    const std::uint64_t eventsBefore = sumEvents(streams);
    const ProcessUsage before = fleet.entryUsage();
    fleet.pause(Window);
    const ProcessUsage after = fleet.entryUsage();
    const std::uint64_t events = sumEvents(streams) - eventsBefore;
    const double seconds = static_cast<double>((clock->now() - begin).value()) / MicrosPerMilli;
    const auto micros = static_cast<double>(after.processorMicros - before.processorMicros);
    std::cout << nlohmann::json{{"benchmark", "relay"},
                                {"token_interval_ms", std::stoi(argv[2])},
                                {"open_streams", countOpen(streams)},
                                {"tokens_per_second", static_cast<double>(events) / seconds},
                                {"entry_core_percent", micros / (seconds * 1e6) * Percent},
                                {"entry_micros_per_token", micros / static_cast<double>(events)},
                                {"entry_resident_bytes", after.resident.value()}}
                     .dump()
              << '\n';
    return EXIT_SUCCESS;
}
