#pragma once

#include <yaml-cpp/node/node.h>

#include <optional>
#include <string>

namespace lavendertally::configuration {

class DiagnosticSink;

/// Parses the one YAML document of a file.
/// \return its root, which is a mapping, or nothing after a report to \p sink
std::optional<YAML::Node> parseDocument(const std::string &text, DiagnosticSink &sink);

} // namespace lavendertally::configuration
