#pragma once

#include "backends/internal/icallformat.h"
#include "framework/types/ids.h"

namespace lavendertally::backends {

/// Request and streaming response format of model engines, after the OpenAI completions API.
class CompletionFormat final : public ICallFormat
{
public:
    explicit CompletionFormat(framework::ModelId model);

    std::string target() const override { return "/v1/completions"; }
    framework::Result<std::string> requestBody(const BackendCall &call) const override;
    std::unique_ptr<IResponseReader> makeReader() const override;

private:
    framework::ModelId m_model;
};

} // namespace lavendertally::backends
