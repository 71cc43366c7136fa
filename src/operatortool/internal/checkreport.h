#pragma once

#include "operatortool/types/checkentry.h"

#include <string>
#include <vector>

namespace lavendertally::operatortool {

/// \return one line for each finding, and a summary
std::string checkText(const std::vector<CheckEntry> &entries);

/// \return one JSON object
std::string checkJson(const std::vector<CheckEntry> &entries);

/// \return how many findings are of this severity
std::size_t countOf(const std::vector<CheckEntry> &entries, configurationcheck::Severity severity);

} // namespace lavendertally::operatortool
