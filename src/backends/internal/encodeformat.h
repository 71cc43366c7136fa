#pragma once

#include "backends/internal/jsonformat.h"

namespace lavendertally::backends {

/// Request format of encode services.
class EncodeFormat final : public JsonFormat
{
public:
    std::string target() const override { return "/v1/encode"; }
    framework::Result<std::string> requestBody(const BackendCall &call) const override;
};

} // namespace lavendertally::backends
