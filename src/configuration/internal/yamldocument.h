#pragma once

#include <yaml-cpp/node/node.h>

#include <optional>
#include <string>

namespace lavendertally::configuration {

class DiagnosticSink;

/// Parses a file that holds exactly one YAML document.
/// \return the root mapping, or nothing when errors were reported to \p sink
std::optional<YAML::Node> parseDocument(const std::string &text, DiagnosticSink &sink);

} // namespace lavendertally::configuration
