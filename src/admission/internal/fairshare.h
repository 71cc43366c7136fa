#pragma once

#include "framework/types/milliseconds.h"

#include <algorithm>
#include <cstdint>
#include <map>

namespace lavendertally::admission {

/// Weighted shares of service between flows, after start-time fair queueing (P. Goyal, H. M. Vin,
/// H. Cheng, SIGCOMM 1996). The backlogged flow with the least start tag is served next.
/// \tparam Flow id of a flow
template <typename Flow>
class FairShare
{
public:
    /// Virtual time in thousandths of a millisecond for each unit of weight.
    using VirtualTime = std::int64_t;

    VirtualTime startTag(const Flow &flow) const
    {
        const auto finish = m_finishTags.find(flow);
        return finish == m_finishTags.end() ? m_now : std::max(m_now, finish->second);
    }

    /// Records that \p flow is served.
    void charge(const Flow &flow, framework::Milliseconds cost, std::uint32_t weight)
    {
        m_now = startTag(flow);
        const VirtualTime length = std::max<VirtualTime>(1, cost.value()) * Scale;
        m_finishTags[flow] = m_now + length / std::max<std::uint32_t>(1, weight);
        // A finish tag in the past has no effect on later start tags.
        std::erase_if(m_finishTags, [this](const auto &entry) { return entry.second <= m_now; });
    }

    /// Ends a busy period: forgets what was served.
    void reset() { m_finishTags.clear(); }

private:
    static constexpr VirtualTime Scale = 1000;

    VirtualTime m_now = 0;
    std::map<Flow, VirtualTime> m_finishTags;
};

} // namespace lavendertally::admission
