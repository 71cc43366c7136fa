#pragma once

#include "framework/types/ordinal.h"

namespace lavendertally::stages {

struct JobNumberTag;

/// One submission of a job; a job that is submitted again gets another number.
using JobNumber = framework::Ordinal<JobNumberTag>;

} // namespace lavendertally::stages
