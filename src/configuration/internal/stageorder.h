#pragma once

#include "configuration/internal/located.h"
#include "configuration/types/stage.h"

#include <vector>

namespace lavendertally::configuration {

class DiagnosticSink;

/// Sorts stages topologically (Kahn's algorithm); among those that may come next, the first one
/// of the file does. Reports a cycle.
/// \param stages stages whose dependencies are all among them
std::vector<Stage> orderStages(const std::vector<Located<Stage>> &stages, DiagnosticSink &sink);

} // namespace lavendertally::configuration
