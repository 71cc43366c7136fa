#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"

#include <cstdint>
#include <map>

namespace lavendertally::admission {

/// Share of each pipeline in the work that was asked for lately. With these as weights, an overload
/// cuts all pipelines alike.
class DemandShares
{
public:
    void add(const framework::PipelineId &pipeline, framework::Milliseconds work);
    /// \return share in percent; at least one
    std::uint32_t percentOf(const framework::PipelineId &pipeline) const;

private:
    std::map<framework::PipelineId, std::int64_t> m_work;
    std::int64_t m_total = 0;
    std::uint32_t m_additions = 0;
};

} // namespace lavendertally::admission
