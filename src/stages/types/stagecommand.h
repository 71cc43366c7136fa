#pragma once

#include "stages/types/endstagejob.h"
#include "stages/types/freestageresults.h"
#include "stages/types/queryfreestorage.h"
#include "stages/types/startstagecall.h"

#include <variant>

namespace lavendertally::stages {

/// Action that a coordinator has decided on, to be executed by its caller.
using StageCommand = std::variant<StartStageCall, FreeStageResults, EndStageJob, QueryFreeStorage>;

} // namespace lavendertally::stages
