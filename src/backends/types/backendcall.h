#pragma once

#include "configuration/types/priorityclass.h"
#include "framework/types/milliseconds.h"
#include "framework/types/units.h"

#include <string>

namespace lavendertally::backends {

/// One call to the backend server.
struct BackendCall
{
    /// JSON object: `input` as the caller gave it, `results` by stage.
    std::string payload;
    configuration::PriorityClass priority = configuration::PriorityClass::Standard;
    framework::TokenCount maxTokens;
    framework::Milliseconds budget;
};

} // namespace lavendertally::backends
