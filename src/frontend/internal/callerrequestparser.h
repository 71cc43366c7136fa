#pragma once

#include "framework/result.h"
#include "pipeline/types/callerrequest.h"

#include <string>

namespace lavendertally::frontend {

/// Parses and validates the JSON request of a caller.
class CallerRequestParser
{
public:
    /// \return the request, or FrontendError::InvalidBody with an ErrorContext
    static framework::Result<pipeline::CallerRequest> parse(const std::string &body);
};

} // namespace lavendertally::frontend
