#include "standins/faultswitch.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace lavendertally::standins {

namespace {

constexpr std::array<std::pair<std::string_view, FaultMode>, 11> ModeNames{{
    {"none", FaultMode::None},
    {"down", FaultMode::Down},
    {"refuse", FaultMode::Refuse},
    {"slow", FaultMode::Slow},
    {"frozen", FaultMode::Frozen},
    {"lost_answer", FaultMode::LostAnswer},
    {"doubled", FaultMode::Doubled},
    {"reordered", FaultMode::Reordered},
    {"lagging", FaultMode::Lagging},
    {"truncated", FaultMode::Truncated},
    {"cold", FaultMode::Cold},
}};

std::optional<FaultMode> modeFromName(std::string_view name)
{
    const auto *found = std::find_if(ModeNames.begin(), ModeNames.end(),
                                     [&](const auto &entry) { return entry.first == name; });
    if (found == ModeNames.end()) {
        return std::nullopt;
    }
    return found->second;
}

} // namespace

void FaultSwitch::set(const Fault &fault)
{
    m_fault = fault;
}

FaultMode FaultSwitch::take(const std::string &path)
{
    if (m_fault.mode == FaultMode::None || !path.starts_with(m_fault.path)) {
        return FaultMode::None;
    }
    const FaultMode mode = m_fault.mode;
    if (m_fault.count && --*m_fault.count == 0) {
        m_fault = Fault{};
    }
    return mode;
}

std::optional<Fault> FaultSwitch::parse(const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("mode") || !json["mode"].is_string()) {
        return std::nullopt;
    }
    const std::optional<FaultMode> mode = modeFromName(json["mode"].get<std::string>());
    if (!mode) {
        return std::nullopt;
    }
    Fault fault;
    fault.mode = *mode;
    if (json.contains("delay_ms") && json["delay_ms"].is_number_unsigned()) {
        fault.delay = framework::Milliseconds(json["delay_ms"].get<std::int64_t>());
    }
    if (json.contains("count") && json["count"].is_number_unsigned() && json["count"] > 0) {
        fault.count = json["count"].get<std::uint32_t>();
    }
    if (json.contains("path") && json["path"].is_string()) {
        fault.path = json["path"].get<std::string>();
    }
    return fault;
}

} // namespace lavendertally::standins
