#pragma once

#include "configuration/types/priorityclass.h"
#include "framework/types/milliseconds.h"
#include "framework/types/units.h"

#include <string>

namespace lavendertally::backends {

/// Parameters of one call to the backend server.
struct BackendCall
{
    /// JSON object with the caller's unchanged `input` and the array `results` of earlier stages.
    std::string payload;
    configuration::PriorityClass priority = configuration::PriorityClass::Standard;
    framework::TokenCount maxTokens;
    /// Time limit of the whole call.
    framework::Milliseconds budget;
};

} // namespace lavendertally::backends
