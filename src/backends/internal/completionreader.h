#pragma once

#include "backends/internal/iresponsereader.h"
#include "framework/types/units.h"

#include <cstddef>
#include <string>

namespace lavendertally::backends {

/// Parses streamed completions in the event stream format of server-sent events (WHATWG HTML
/// standard). Each `data` line is one event; other fields are ignored.
class CompletionReader final : public IResponseReader
{
public:
    void append(std::string_view data, IBackendObserver &observer) override;
    std::size_t heldBytes() const override { return m_buffer.size() + m_text.size(); }
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
