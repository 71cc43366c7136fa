#pragma once

#include "framework/result.h"
#include "operatortool/types/tooloptions.h"

#include <string>
#include <vector>

namespace lavendertally::operatortool {

/// \param arguments command line without the program's name
/// \return the options, or ToolError::Usage with an ErrorContext
framework::Result<ToolOptions> parseCommandLine(const std::vector<std::string> &arguments);

/// \return the text of `--help`
std::string helpText();

} // namespace lavendertally::operatortool
