#pragma once

#include "framework/result.h"

#include <memory>
#include <string>

namespace lavendertally::backends {

class IAnswerReader;
struct BackendCall;

/// How one kind of backend server is asked, and how its answer reads.
class ICallFormat
{
public:
    virtual ~ICallFormat() = default;

    /// \return path of the call
    virtual std::string target() const = 0;

    /// \return JSON body, or BackendError::NotRun when the payload lacks what the call needs
    virtual framework::Result<std::string> requestBody(const BackendCall &call) const = 0;

    /// \return reader for one answer
    virtual std::unique_ptr<IAnswerReader> makeReader() const = 0;
};

} // namespace lavendertally::backends
