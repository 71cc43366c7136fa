#pragma once

#include "stages/types/endstagejob.h"
#include "stages/types/freestageresults.h"
#include "stages/types/startstagecall.h"

#include <variant>

namespace lavendertally::stages {

/// What a coordinator wants done.
using StageCommand = std::variant<StartStageCall, FreeStageResults, EndStageJob>;

} // namespace lavendertally::stages
