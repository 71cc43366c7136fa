#include "infrastructure/internal/hostlistjson.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <map>

namespace lavendertally::infrastructure {

namespace {

using membership::HostEntry;
using membership::HostRole;
using membership::HostState;

std::optional<std::string> textMember(const nlohmann::json &object, const char *key)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_string()) {
        return std::nullopt;
    }
    return found->get<std::string>();
}

std::optional<framework::Endpoint> endpointMember(const nlohmann::json &object, const char *key)
{
    const std::string text = textMember(object, key).value_or("");
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return std::nullopt;
    }
    framework::Endpoint endpoint{text.substr(0, colon), 0};
    const char *last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data() + colon + 1, last, endpoint.port);
    if (error != std::errc() || end != last || endpoint.port == 0) {
        return std::nullopt;
    }
    return endpoint;
}

std::optional<HostRole> roleMember(const nlohmann::json &object)
{
    const auto text = textMember(object, "role");
    if (text == "entry") {
        return HostRole::Entry;
    }
    if (text == "backend") {
        return HostRole::Backend;
    }
    return std::nullopt;
}

std::optional<HostState> stateMember(const nlohmann::json &object)
{
    const auto text = textMember(object, "state");
    if (text == "live") {
        return HostState::Live;
    }
    if (text == "leaving") {
        return HostState::Leaving;
    }
    return std::nullopt;
}

std::optional<HostEntry> entryOf(const nlohmann::json &row)
{
    if (!row.is_object()) {
        return std::nullopt;
    }
    const auto id = textMember(row, "host");
    const auto zone = textMember(row, "availability_zone");
    const auto role = roleMember(row);
    const auto state = stateMember(row);
    const auto http = endpointMember(row, "http");
    const auto control = endpointMember(row, "control");
    const std::string service = textMember(row, "service").value_or("");
    if (!id || id->empty() || !zone || zone->empty() || !role || !state || !http || !control) {
        return std::nullopt;
    }
    if (*role == HostRole::Backend && service.empty()) {
        return std::nullopt;
    }
    return HostEntry{framework::HostId(*id),
                     framework::AvailabilityZoneId(*zone),
                     *role,
                     *state,
                     framework::ServiceId(service),
                     *http,
                     *control};
}

} // namespace

std::optional<std::vector<HostEntry>> decodeHosts(const std::string &text)
{
    const auto body = nlohmann::json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("hosts") || !body["hosts"].is_array()) {
        return std::nullopt;
    }
    std::vector<HostEntry> hosts;
    std::map<framework::HostId, HostEntry> seen;
    for (const nlohmann::json &row : body["hosts"]) {
        const auto entry = entryOf(row);
        if (!entry) {
            return std::nullopt;
        }
        const auto [position, isNew] = seen.try_emplace(entry->id, *entry);
        if (position->second != *entry) {
            return std::nullopt;
        }
        if (isNew) {
            hosts.push_back(*entry);
        }
    }
    return hosts;
}

} // namespace lavendertally::infrastructure
