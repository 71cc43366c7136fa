#pragma once

#include "framework/result.h"
#include "framework/types/ids.h"
#include "operatortool/types/changeoutcome.h"

#include <string>

namespace lavendertally::http {
struct HttpResponse;
}

namespace lavendertally::operatortool {

/// \return what the response to a change tells
ChangeOutcome readOutcome(const http::HttpResponse &response);

/// \return the revision, or ToolError::Unavailable with an ErrorContext
framework::Result<framework::LogOffset> readRevisionBody(const http::HttpResponse &response);

/// \return the body, or ToolError::Unavailable with an ErrorContext
framework::Result<std::string> readJsonBody(const http::HttpResponse &response);

} // namespace lavendertally::operatortool
