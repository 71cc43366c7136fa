#pragma once

#include "framework/types/ids.h"

#include <vector>

namespace lavendertally::stages {

/// Command: ask backend servers to delete results.
struct FreeStageResults
{
    std::vector<framework::StageResultId> results;
};

} // namespace lavendertally::stages
