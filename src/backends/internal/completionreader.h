#pragma once

#include "backends/internal/ianswerreader.h"
#include "framework/types/units.h"

#include <string>

namespace lavendertally::backends {

/// Reads a stream of completion events as server-sent events, per the WHATWG HTML standard's
/// event stream format.
class CompletionReader final : public IAnswerReader
{
public:
    void append(std::string_view data, IBackendObserver &observer) override;
    framework::Result<BackendResult> finish() override;

private:
    void readLine(std::string_view line, IBackendObserver &observer);
    void readEvent(std::string_view data, IBackendObserver &observer);

    std::string m_buffer;
    std::string m_text;
    framework::TokenCount m_tokens;
    bool m_finished = false;
    bool m_malformed = false;
};

} // namespace lavendertally::backends
