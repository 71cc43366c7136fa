#include "admission/internal/demandshares.h"

#include <algorithm>

namespace lavendertally::admission {

namespace {

/// After this many requests, the earlier ones count half. A share of a tenth is known to about a
/// quarter then.
constexpr std::uint32_t HalvingInterval = 128;
constexpr std::int64_t Percent = 100;

} // namespace

void DemandShares::add(const framework::PipelineId &pipeline, framework::Milliseconds work)
{
    if (++m_additions >= HalvingInterval) {
        m_additions = 0;
        m_total = 0;
        for (auto &[id, sum] : m_work) {
            sum /= 2;
            m_total += sum;
        }
        std::erase_if(m_work, [](const auto &entry) { return entry.second == 0; });
    }
    const std::int64_t counted = std::max<std::int64_t>(1, work.value());
    m_work[pipeline] += counted;
    m_total += counted;
}

std::uint32_t DemandShares::percentOf(const framework::PipelineId &pipeline) const
{
    const auto found = m_work.find(pipeline);
    if (found == m_work.end()) {
        return 1;
    }
    return static_cast<std::uint32_t>(
        std::max<std::int64_t>(1, found->second * Percent / std::max<std::int64_t>(1, m_total)));
}

} // namespace lavendertally::admission
