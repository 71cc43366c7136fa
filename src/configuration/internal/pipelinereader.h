#pragma once

namespace lavendertally::configuration {

class DiagnosticSink;
class YamlMapping;
struct ConfigurationFragment;

/// Reads one pipeline into a fragment, with its stages in topological order.
void readPipeline(YamlMapping &mapping, DiagnosticSink &sink, ConfigurationFragment &fragment);

} // namespace lavendertally::configuration
