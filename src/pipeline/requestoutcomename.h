#pragma once

#include "pipeline/types/requestoutcome.h"

namespace lavendertally::pipeline {

/// \return name of \p outcome as callers, logs and metrics show it
const char *requestOutcomeName(RequestOutcome outcome);

} // namespace lavendertally::pipeline
