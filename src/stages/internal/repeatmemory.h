#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

namespace lavendertally::stages {

/// Remembers when work was first asked for. A client that repeats a refused request asks for the
/// same work under a new request id, and its latency objective counts from the first time.
class RepeatMemory
{
public:
    explicit RepeatMemory(framework::Milliseconds memory) : m_memory(memory) { }

    /// \return when the work was asked for before, or nothing if this is the first time
    std::optional<framework::TimePoint> firstAsked(const framework::StageInputId &input,
                                                   framework::TimePoint now)
    {
        forget(now);
        if (input.isEmpty()) {
            return std::nullopt;
        }
        const auto [position, isNew] = m_first.try_emplace(input, now);
        if (!isNew) {
            return position->second;
        }
        m_order.emplace_back(now, input);
        return std::nullopt;
    }

private:
    void forget(framework::TimePoint now)
    {
        while (!m_order.empty() && now - m_order.front().first > m_memory) {
            m_first.erase(m_order.front().second);
            m_order.pop_front();
        }
    }

    framework::Milliseconds m_memory;
    std::unordered_map<framework::StageInputId, framework::TimePoint> m_first;
    std::deque<std::pair<framework::TimePoint, framework::StageInputId>> m_order;
};

} // namespace lavendertally::stages
