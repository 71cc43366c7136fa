#pragma once

#include "framework/types/ids.h"

#include <vector>

namespace lavendertally::stages {

/// Command to tell backend servers that results are not needed any more.
struct FreeStageResults
{
    std::vector<framework::StageResultId> results;
};

} // namespace lavendertally::stages
