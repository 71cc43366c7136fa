#pragma once

#include "backends/internal/iresponsereader.h"

#include <cstddef>
#include <string>

namespace lavendertally::backends {

/// Reads a response that is a single JSON object.
class JsonResponseReader final : public IResponseReader
{
public:
    void append(std::string_view data, IBackendObserver &observer) override;
    std::size_t heldBytes() const override { return m_body.size(); }
    framework::Result<BackendResult> finish() override;

private:
    std::string m_body;
};

} // namespace lavendertally::backends
