#pragma once

#include <memory>

namespace lavendertally::pipeline {

class IRequestService;
struct PipelineContext;

/// Creates the service that runs requests through their pipelines.
class PipelineModule
{
public:
    /// \param context dependencies of the service; copied, its references outlive the service
    static std::unique_ptr<IRequestService> makeRequestService(const PipelineContext &context);
};

} // namespace lavendertally::pipeline
