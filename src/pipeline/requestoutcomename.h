#pragma once

#include "pipeline/types/requestoutcome.h"

namespace lavendertally::pipeline {

/// \return name of \p outcome in answers to callers, logs and metrics
const char *requestOutcomeName(RequestOutcome outcome);

} // namespace lavendertally::pipeline
