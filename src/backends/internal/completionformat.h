#pragma once

#include "backends/internal/icallformat.h"
#include "framework/types/ids.h"

namespace lavendertally::backends {

/// Calls of model engines in the form of OpenAI's completions.
class CompletionFormat final : public ICallFormat
{
public:
    explicit CompletionFormat(framework::ModelId model);

    std::string target() const override { return "/v1/completions"; }
    framework::Result<std::string> requestBody(const BackendCall &call) const override;
    std::unique_ptr<IAnswerReader> makeReader() const override;

private:
    framework::ModelId m_model;
};

} // namespace lavendertally::backends
