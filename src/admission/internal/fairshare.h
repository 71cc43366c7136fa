#pragma once

#include "framework/types/milliseconds.h"

#include <algorithm>
#include <cstdint>
#include <map>

namespace lavendertally::admission {

/// Start-time fair queueing (P. Goyal, H. M. Vin, H. Cheng, SIGCOMM 1996): divides service between
/// flows by weight. The caller serves the backlogged flow with the smallest start tag next.
/// \tparam Flow id type of a flow
template <typename Flow>
class FairShare
{
public:
    /// Virtual time: thousandths of a millisecond of service per unit of weight.
    using VirtualTime = std::int64_t;

    /// \return virtual time at which the next service of \p flow starts
    VirtualTime startTag(const Flow &flow) const
    {
        const auto finish = m_finishTags.find(flow);
        return finish == m_finishTags.end() ? m_now : std::max(m_now, finish->second);
    }

    /// Records that \p flow is served and advances virtual time to its start tag.
    /// \param flow the flow
    /// \param cost service time to charge; at least one millisecond is charged
    /// \param weight share of the flow; zero counts as one
    void charge(const Flow &flow, framework::Milliseconds cost, std::uint32_t weight)
    {
        m_now = startTag(flow);
        const VirtualTime length = std::max<VirtualTime>(1, cost.value()) * Scale;
        m_finishTags[flow] = m_now + length / std::max<std::uint32_t>(1, weight);
        // A finish tag in the past no longer affects start tags.
        std::erase_if(m_finishTags, [this](const auto &entry) { return entry.second <= m_now; });
    }

    /// Ends a busy period: clears the finish tags of all flows.
    void reset() { m_finishTags.clear(); }

private:
    static constexpr VirtualTime Scale = 1000;

    VirtualTime m_now = 0;
    std::map<Flow, VirtualTime> m_finishTags;
};

} // namespace lavendertally::admission
