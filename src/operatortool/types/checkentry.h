#pragma once

#include "configurationcheck/types/finding.h"
#include "operatortool/types/textposition.h"

#include <string>

namespace lavendertally::operatortool {

/// A finding and its place in a file.
struct CheckEntry
{
    std::string file;
    TextPosition position;
    configurationcheck::Finding finding;
};

} // namespace lavendertally::operatortool
