#pragma once

#include "configuration/internal/located.h"
#include "configuration/types/stage.h"

#include <vector>

namespace lavendertally::configuration {

class DiagnosticSink;

/// Sorts stages topologically (Kahn's algorithm). Stages whose dependencies are met keep their
/// order in the file. Reports a dependency cycle to \p sink. \param stages stages that depend on
/// each other only
std::vector<Stage> orderStages(const std::vector<Located<Stage>> &stages, DiagnosticSink &sink);

} // namespace lavendertally::configuration
