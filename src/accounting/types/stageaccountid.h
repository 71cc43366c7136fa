#pragma once

#include "framework/types/ids.h"

#include <compare>

namespace lavendertally::accounting {

/// Identifies the cost account of one stage of one pipeline.
struct StageAccountId
{
    framework::PipelineId pipeline;
    framework::StageId stage;

    auto operator<=>(const StageAccountId &) const = default;
};

} // namespace lavendertally::accounting
