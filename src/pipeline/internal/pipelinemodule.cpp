#include "pipeline/pipelinemodule.h"

#include "pipeline/internal/requestservice.h"

namespace lavendertally::pipeline {

std::unique_ptr<IRequestService> PipelineModule::makeRequestService(const PipelineContext &context)
{
    return std::make_unique<RequestService>(context);
}

} // namespace lavendertally::pipeline
