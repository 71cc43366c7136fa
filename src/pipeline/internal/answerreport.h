#pragma once

namespace lavendertally::pipeline {

struct CallerAnswer;
struct CallerRequest;
struct PipelineContext;

/// Writes the log line and updates the metrics of an answered request.
void reportAnswer(const PipelineContext &context, const CallerRequest &request,
                  const CallerAnswer &answer);

} // namespace lavendertally::pipeline
