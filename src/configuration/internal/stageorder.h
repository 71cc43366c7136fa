#pragma once

#include "configuration/internal/located.h"
#include "configuration/types/stage.h"

#include <vector>

namespace lavendertally::configuration {

class DiagnosticSink;

/// Sorts stages topologically (Kahn's algorithm). Among the stages whose dependencies are met,
/// the first one in the file comes next. Reports a dependency cycle to \p sink.
/// \param stages stages that depend on each other only
std::vector<Stage> orderStages(const std::vector<Located<Stage>> &stages, DiagnosticSink &sink);

} // namespace lavendertally::configuration
