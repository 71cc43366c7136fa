#pragma once

#include "framework/result.h"

#include <map>
#include <string>
#include <vector>

namespace lavendertally::operatortool {

/// Reads files.
/// \return text by file name without folders, or ToolError with an ErrorContext: UnreadableFile,
/// or Usage when two paths have the same name
framework::Result<std::map<std::string, std::string>>
readFiles(const std::vector<std::string> &paths);

} // namespace lavendertally::operatortool
