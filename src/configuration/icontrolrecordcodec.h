#pragma once

#include "configuration/types/controlrecordcontent.h"
#include "framework/result.h"

#include <string>

namespace lavendertally::configuration {

/// Encodes the contents of control records as text and decodes them.
class IControlRecordCodec
{
public:
    virtual ~IControlRecordCodec() = default;

    /// \return the text, or ConfigurationError::InvalidRecord when a string in \p content is not
    /// valid UTF-8
    virtual framework::Result<std::string> encode(const ControlRecordContent &content) const = 0;

    /// \return the content, or ConfigurationError::InvalidRecord with an ErrorContext
    virtual framework::Result<ControlRecordContent> decode(const std::string &data) const = 0;
};

} // namespace lavendertally::configuration
