#pragma once

#include "framework/types/timepoint.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace lavendertally::standins {

/// Least recently used cache of prompt prefixes whose events come late and with gaps.
class PrefixCache
{
public:
    /// \param capacity prefixes that it holds
    /// \param eventDelay time before an event can be read
    /// \param eventGap each event whose sequence is a multiple of it is lost; zero means none
    PrefixCache(std::size_t capacity, framework::Milliseconds eventDelay, std::uint32_t eventGap);

    /// Looks a prefix up and stores it.
    /// \return whether it was there
    bool touch(const std::string &prefix, framework::TimePoint now);

    /// Forgets all prefixes.
    void clear();

    /// \return the events from \p from on that can be read, in the form of `/v1/cache/events`
    nlohmann::json eventsFrom(std::uint64_t from, framework::TimePoint now) const;

private:
    struct Event
    {
        std::uint64_t sequence = 0;
        const char *kind = "";
        std::string prefix;
        framework::TimePoint at;
    };

    void evictOldest(framework::TimePoint now);
    void addEvent(const char *kind, const std::string &prefix, framework::TimePoint now);

    std::size_t m_capacity;
    framework::Milliseconds m_eventDelay;
    std::uint32_t m_eventGap;
    std::list<std::string> m_byUse;
    std::unordered_map<std::string, std::list<std::string>::iterator> m_entries;
    std::vector<Event> m_events;
};

} // namespace lavendertally::standins
