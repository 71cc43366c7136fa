#pragma once

#include "backends/internal/jsonformat.h"

namespace lavendertally::backends {

/// Request format of rerank services.
class RerankFormat final : public JsonFormat
{
public:
    std::string target() const override { return "/v1/rerank"; }
    framework::Result<std::string> requestBody(const BackendCall &call) const override;
};

} // namespace lavendertally::backends
