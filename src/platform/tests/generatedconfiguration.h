#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

namespace lavendertally::platform {

/// Makes configurations of the platform without any fault, of random size and contents.
class GeneratedConfiguration
{
public:
    explicit GeneratedConfiguration(std::uint64_t seed) : m_random(seed) { }

    /// \return a number from \p low to \p high
    std::size_t between(std::size_t low, std::size_t high)
    {
        return std::uniform_int_distribution<std::size_t>(low, high)(m_random);
    }

    nlohmann::json make() { return make(between(1, 12), between(0, 8)); }

    nlohmann::json make(std::size_t routeCount, std::size_t teamCount)
    {
        nlohmann::json services = {plainService("plain"), plainService("other"), pool("pool")};
        nlohmann::json model = plainService("models");
        model["engineKind"] = {{"slots", 64}};
        services.push_back(model);
        nlohmann::json routes = nlohmann::json::array();
        for (std::size_t index = 0; index < routeCount; ++index) {
            routes.push_back(route(index));
        }
        nlohmann::json teams = nlohmann::json::array();
        for (std::size_t index = 0; index < teamCount; ++index) {
            teams.push_back(team(index));
        }
        // A list without any key is worth a warning.
        teams.push_back({{"name", "with-key"}, {"apiKeys", {"secret"}}});
        nlohmann::json json = {{"version", between(1, 1000)},
                               {"routes", routes},
                               {"services", services},
                               {"tenants", teams},
                               {"unknownPart", {{"x", 1}}}};
        if (between(0, 1) == 1) {
            json["limits"] = {{"maxHeaderBytes", 16384},
                              {"maxBodyBytes", between(1, 8) << 20U},
                              {"headerTimeoutMs", between(100, 5000)},
                              {"idleTimeoutMs", between(500, 20000)}};
        }
        return json;
    }

private:
    nlohmann::json plainService(const char *name)
    {
        return {{"name", name},
                {"healthPath", "/z"},
                {"maxConnections", between(1, 400)},
                {"coldPerS", static_cast<double>(between(2, 400)) + 0.25}};
    }

    nlohmann::json pool(const char *name)
    {
        return {{"name", name},
                {"pieces",
                 {{"slots", between(1, 4)},
                  {"queueLimit", between(0, 4)},
                  {"batchSize", between(1, 10)},
                  {"callMs", 2.0},
                  {"itemMs", 1.5},
                  {"headroomMb", 12.0},
                  {"handleS", 4.0}}}};
    }

    nlohmann::json route(std::size_t index)
    {
        static const char *const Kinds[] = {"idempotent", "non_idempotent", "streaming"};
        const std::size_t objective = between(1000, 3000);
        nlohmann::json json = {{"name", "r" + std::to_string(index)},
                               {"hostname", "h" + std::to_string(between(0, 3))},
                               {"pathPrefix", "/p" + std::to_string(index) + "/"},
                               {"routeKind", Kinds[between(0, 2)]},
                               {"timeoutMs", objective + between(0, 9000)},
                               {"targetLatencyMs", objective},
                               {"priority", between(0, 3)},
                               {"maxAttempts", between(1, 4)},
                               {"public", between(0, 1) == 1}};
        if (between(0, 1) == 1) {
            json["service"] = "plain";
        } else {
            json["trafficSplit"] = {{{"service", "other"}, {"weight", between(1, 99)}},
                                    {{"service", "models"}, {"weight", between(1, 99)}}};
        }
        if (between(0, 2) == 0) {
            json["stages"] = {
                {{"service", "pool"}, {"after", nlohmann::json::array()}, {"bytes", 8000}},
                {{"service", "pool"}, {"after", {0}}, {"bytes", 60000}}};
        }
        return json;
    }

    nlohmann::json team(std::size_t index)
    {
        nlohmann::json keys = nlohmann::json::array();
        for (std::size_t key = between(0, 3); key > 0; --key) {
            keys.push_back("secret-" + std::to_string(index) + "-" + std::to_string(key));
        }
        return {{"name", "t" + std::to_string(index)}, {"apiKeys", keys}};
    }

    std::mt19937_64 m_random;
};

} // namespace lavendertally::platform
