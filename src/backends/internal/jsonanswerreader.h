#pragma once

#include "backends/internal/ianswerreader.h"

#include <string>

namespace lavendertally::backends {

/// Reads an answer that is one JSON object.
class JsonAnswerReader final : public IAnswerReader
{
public:
    void append(std::string_view data, IBackendObserver &observer) override;
    framework::Result<BackendResult> finish() override;

private:
    std::string m_body;
};

} // namespace lavendertally::backends
