#include "soak/internal/soakconfiguration.h"

#include "soak/internal/loadclients.h"
#include "soak/internal/promises.h"

#include <nlohmann/json.hpp>

namespace lavendertally::soak {

std::string SoakConfiguration::text() const
{
    const auto route = [](const char *name, const char *path, const char *service,
                          const char *kind) {
        return nlohmann::json{{"name", name},       {"hostname", "h"},
                              {"pathPrefix", path}, {"service", service},
                              {"routeKind", kind},  {"timeoutMs", Promises::RequestTimeout.value()},
                              {"priority", 0},      {"public", false},
                              {"maxAttempts", 2},   {"targetLatencyMs", 1000}};
    };
    nlohmann::json stream = route("stream", "/stream/", "models", "streaming");
    stream["streamResume"] = true;
    stream["stages"] = {{{"service", "pool"}, {"after", nlohmann::json::array()}, {"bytes", 1000}}};
    nlohmann::json routes = {route("book", "/book/", "desk", "non_idempotent"),
                             route("look", "/look/", "archive", "idempotent"), stream};
    if (hasAddedRoute) {
        routes.push_back(route("added", "/added/", "archive", "idempotent"));
    }
    nlohmann::json teams = nlohmann::json::array();
    for (std::size_t each = 0; each < LoadClients::TeamCount; ++each) {
        const bool isRevoked = each >= 1 && each <= revokedKeys;
        const nlohmann::json keys =
            isRevoked ? nlohmann::json::array() : nlohmann::json{LoadClients::key(each)};
        teams.push_back({{"name", LoadClients::team(each)}, {"apiKeys", keys}});
    }
    const nlohmann::json pieces = {{"slots", 1},     {"queueLimit", 4}, {"batchSize", 8},
                                   {"callMs", 20.0}, {"itemMs", 1.0},   {"headroomMb", 1.0},
                                   {"handleS", 4.0}};
    const nlohmann::json configuration = {
        {"version", version},
        {"routes", routes},
        {"services",
         {{{"name", "desk"}},
          {{"name", "archive"}},
          {{"name", "models"}, {"engineKind", nlohmann::json::object()}},
          {{"name", "pool"}, {"pieces", pieces}}}},
        {"limits",
         {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", 1048576},
          {"headerTimeoutMs", 2000},
          {"idleTimeoutMs", 5000}}},
        {"tenants", teams}};
    return configuration.dump();
}

} // namespace lavendertally::soak
