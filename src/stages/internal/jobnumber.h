#pragma once

#include "framework/types/ordinal.h"

namespace lavendertally::stages {

struct JobNumberTag;

/// Identifies one submission of a job. A job that is submitted again gets a new number, so that
/// calls in flight for the earlier submission do not count for it.
using JobNumber = framework::Ordinal<JobNumberTag>;

} // namespace lavendertally::stages
