#pragma once

#include "framework/result.h"
#include "framework/types/endpoint.h"
#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "operatortool/types/changeoutcome.h"

#include <functional>
#include <string>

namespace lavendertally::configuration {
struct OperatorChange;
}

namespace lavendertally::operatortool {

/// Calls daemons for an operator, one call at a time. Destroying it cancels the call.
class IOperatorClient
{
public:
    virtual ~IOperatorClient() = default;

    /// \param callback gets the revision in force in the entry, or ToolError::Unavailable
    virtual void
    readRevision(framework::Milliseconds timeout,
                 std::function<void(framework::Result<framework::LogOffset>)> callback) = 0;

    /// Sends a change once.
    virtual void submit(const configuration::OperatorChange &change,
                        framework::Milliseconds timeout,
                        std::function<void(ChangeOutcome)> callback) = 0;

    /// \param callback gets the status of the entry as JSON, or ToolError::Unavailable
    virtual void readStatus(framework::Milliseconds timeout,
                            std::function<void(framework::Result<std::string>)> callback) = 0;

    /// \param callback gets the state of a daemon as JSON, or ToolError::Unavailable
    virtual void readDump(const framework::Endpoint &daemon, framework::Milliseconds timeout,
                          std::function<void(framework::Result<std::string>)> callback) = 0;

    /// \param callback gets the configuration in force in a gateway as JSON, or
    /// ToolError::Unavailable
    virtual void
    readConfiguration(const framework::Endpoint &gateway, framework::Milliseconds timeout,
                      std::function<void(framework::Result<std::string>)> callback) = 0;
};

} // namespace lavendertally::operatortool
