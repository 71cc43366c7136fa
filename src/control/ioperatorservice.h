#pragma once

#include "configuration/types/operationoutcome.h"
#include "configuration/types/operatorchange.h"
#include "framework/result.h"
#include "framework/types/milliseconds.h"

#include <functional>

namespace lavendertally::control {

/// Publishes operators' changes on the log and tells what became of them.
class IOperatorService
{
public:
    virtual ~IOperatorService() = default;

    /// \param callback gets the verdict once this process has read it back, or OperatorError
    virtual void
    submit(const configuration::OperatorChange &change, framework::Milliseconds timeout,
           std::function<void(framework::Result<configuration::OperationOutcome>)> callback) = 0;
};

} // namespace lavendertally::control
