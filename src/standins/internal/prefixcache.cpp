#include "standins/prefixcache.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lavendertally::standins {

namespace {

constexpr std::size_t MaxEvents = 10000;

} // namespace

PrefixCache::PrefixCache(std::size_t capacity, framework::Milliseconds eventDelay,
                         std::uint32_t eventGap)
    : m_capacity(capacity), m_eventDelay(eventDelay), m_eventGap(eventGap)
{ }

bool PrefixCache::touch(const std::string &prefix, framework::TimePoint now)
{
    if (const auto found = m_entries.find(prefix); found != m_entries.end()) {
        m_byUse.splice(m_byUse.begin(), m_byUse, found->second);
        return true;
    }
    m_byUse.push_front(prefix);
    m_entries[prefix] = m_byUse.begin();
    addEvent("stored", prefix, now);
    if (m_entries.size() > m_capacity) {
        evictOldest(now);
    }
    return false;
}

void PrefixCache::clear()
{
    m_entries.clear();
    m_byUse.clear();
}

nlohmann::json PrefixCache::eventsFrom(std::uint64_t from, framework::TimePoint now) const
{
    auto events = nlohmann::json::array();
    std::uint64_t next = from;
    for (const Event &event : m_events) {
        if (event.sequence < from || now - event.at < m_eventDelay) {
            continue;
        }
        next = event.sequence + 1;
        const bool lost = m_eventGap != 0 && event.sequence % m_eventGap == 0;
        if (!lost) {
            events.push_back(
                {{"sequence", event.sequence}, {"kind", event.kind}, {"prefix", event.prefix}});
        }
    }
    return {{"next", next}, {"events", std::move(events)}};
}

void PrefixCache::evictOldest(framework::TimePoint now)
{
    addEvent("evicted", m_byUse.back(), now);
    m_entries.erase(m_byUse.back());
    m_byUse.pop_back();
}

void PrefixCache::addEvent(const char *kind, const std::string &prefix, framework::TimePoint now)
{
    if (m_events.size() >= MaxEvents) {
        m_events.erase(m_events.begin(), m_events.begin() + MaxEvents / 2);
    }
    const std::uint64_t sequence = m_events.empty() ? 1 : m_events.back().sequence + 1;
    m_events.push_back({sequence, kind, prefix, now});
}

} // namespace lavendertally::standins
