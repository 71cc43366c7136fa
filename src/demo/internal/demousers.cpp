#include "demo/internal/demousers.h"

namespace lavendertally::demo {

namespace {

using framework::AvailabilityZoneId;
using framework::PipelineId;
using framework::ServiceId;
using framework::TeamId;

std::vector<AvailabilityZoneId> zones(const std::string &region)
{
    std::vector<AvailabilityZoneId> result;
    for (const char *suffix : {"-a", "-b", "-c", "-d"}) {
        result.emplace_back(region + suffix);
    }
    return result;
}

std::vector<localfleet::FleetService> services(const std::string &model, const std::string &action)
{
    return {{ServiceId("encoder"), "standinpool", {"--kind", "encode", "--service-ms", "2"}},
            {ServiceId("retriever"), "standinpool", {"--kind", "retrieve", "--service-ms", "2"}},
            {ServiceId("reranker"), "standinpool", {"--kind", "rerank", "--service-ms", "3"}},
            {ServiceId("writer"),
             "standinengine",
             {"--model", model, "--token-interval-ms", "1", "--answer-tokens", "192"}},
            {ServiceId(action), "standinaction", {}}};
}

DemoUser cooperative()
{
    const auto work = [](const char *pipeline, const char *team, const char *input) {
        return localfleet::Workload{PipelineId(pipeline), TeamId(team), input};
    };
    return {
        "Alföldi Biogáz Szövetkezet",
        "samples/alfold",
        zones("del-alfold"),
        services("assistant-hu", "rota"),
        {work("feed-plan", "members", R"({"text":"feed plan for week 49"})"),
         work("explain-tank-reading", "digester-crew", R"({"text":"tank 3 reads pH 6.1"})"),
         work("summarise-delivery-notes", "drivers", R"({"text":"notes of Tuesday"})"),
         work("book-tipping-slot", "rota-office", R"({"operation":{"slot":"09:30"}})"),
         work("look-up-deliveries", "rota-office", R"({"text":"deliveries of plate ABC-123"})")},
        ServiceId("rota"),
        PipelineId("book-tipping-slot")};
}

DemoUser recycler()
{
    const auto work = [](const char *pipeline, const char *team, const char *input) {
        return localfleet::Workload{PipelineId(pipeline), TeamId(team), input};
    };
    return {"Caddo Plains Molded Fiber Returns",
            "samples/caddo",
            zones("east-tx"),
            services("letters-en", "ledger"),
            {work("dispute-letter", "hatcheries", R"({"text":"hatchery disputes 400 trays"})"),
             work("pickup-note-summary", "dispatch", R"({"text":"pickup notes of dock 2"})"),
             work("classify-pallet-label", "dock", R"({"text":"label 7741"})"),
             work("post-credit", "accounts", R"({"operation":{"credit":25}})"),
             work("balance-enquiry", "grocers", R"({"account":"grocer-12"})")},
            ServiceId("ledger"),
            PipelineId("post-credit")};
}

} // namespace

std::vector<DemoUser> demoUsers()
{
    return {cooperative(), recycler()};
}

} // namespace lavendertally::demo
