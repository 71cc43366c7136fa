#pragma once

#include "framework/result.h"

#include <memory>
#include <string>

namespace lavendertally::backends {

class IResponseReader;
struct BackendCall;

/// Request encoding and response parsing for one kind of backend server.
class ICallFormat
{
public:
    virtual ~ICallFormat() = default;

    /// \return HTTP request target
    virtual std::string target() const = 0;

    /// \return JSON body, or BackendError::NotRun if the payload is malformed or lacks an input the
    /// call needs
    virtual framework::Result<std::string> requestBody(const BackendCall &call) const = 0;

    /// \return new reader for one response
    virtual std::unique_ptr<IResponseReader> makeReader() const = 0;
};

} // namespace lavendertally::backends
