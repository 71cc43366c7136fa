#pragma once

#include <memory>

namespace lavendertally::pipeline {

class IRequestService;
struct PipelineContext;

/// Makes the service that runs requests through their pipelines.
class PipelineModule
{
public:
    static std::unique_ptr<IRequestService> makeRequestService(const PipelineContext &context);
};

} // namespace lavendertally::pipeline
