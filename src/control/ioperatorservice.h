#pragma once

#include "configuration/types/operationoutcome.h"
#include "configuration/types/operatorchange.h"
#include "framework/result.h"
#include "framework/types/milliseconds.h"

#include <functional>

namespace lavendertally::control {

/// Appends operators' changes to the control stream and reports their outcomes.
class IOperatorService
{
public:
    virtual ~IOperatorService() = default;

    /// Submits \p change. A change that already has an outcome is not appended again.
    /// \param callback called once with the outcome when the replica of this process has applied
    /// the change, or with OperatorError; never from within this function
    virtual void
    submit(const configuration::OperatorChange &change, framework::Milliseconds timeout,
           std::function<void(framework::Result<configuration::OperationOutcome>)> callback) = 0;
};

} // namespace lavendertally::control
