#include "backends/internal/completionreader.h"

#include "backends/ibackendobserver.h"
#include "backends/types/backenderror.h"
#include "framework/types/errorcontext.h"

#include <nlohmann/json.hpp>

namespace lavendertally::backends {

namespace {

constexpr std::string_view DataFieldPrefix = "data:";
constexpr std::string_view StreamEndMarker = "[DONE]";

} // namespace

void CompletionReader::append(std::string_view data, IBackendObserver &observer)
{
    m_buffer.append(data);
    std::size_t start = 0;
    for (std::size_t end = m_buffer.find('\n'); end != std::string::npos;
         end = m_buffer.find('\n', start)) {
        readLine(std::string_view(m_buffer).substr(start, end - start), observer);
        start = end + 1;
    }
    m_buffer.erase(0, start);
}

void CompletionReader::readLine(std::string_view line, IBackendObserver &observer)
{
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    if (!line.starts_with(DataFieldPrefix)) {
        return;
    }
    line.remove_prefix(DataFieldPrefix.size());
    if (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    if (line == StreamEndMarker) {
        m_finished = true;
        return;
    }
    readEvent(line, observer);
}

void CompletionReader::readEvent(std::string_view data, IBackendObserver &observer)
{
    const auto event = nlohmann::json::parse(data, nullptr, false);
    const auto choices = event.is_object() ? event.find("choices") : event.end();
    if (!event.is_object() || choices == event.end() || !choices->is_array() || choices->empty()
        || !choices->front().is_object() || !choices->front().contains("text")
        || !choices->front()["text"].is_string()) {
        m_malformed = true;
        return;
    }
    const auto text = choices->front()["text"].get<std::string>();
    if (text.empty() || m_finished) {
        return;
    }
    m_text += text;
    m_tokens += framework::TokenCount(1);
    observer.onChunk(text, framework::TokenCount(1));
}

framework::Result<BackendResult> CompletionReader::finish()
{
    if (!m_finished || m_malformed) {
        return framework::leaf::new_error(
            BackendError::Unknown,
            framework::ErrorContext{m_malformed ? "model engine sent a malformed completion event"
                                                : "model engine's stream ended before [DONE]"});
    }
    const nlohmann::json result = {{"text", m_text}, {"tokens", m_tokens.value()}};
    return BackendResult{result.dump(), m_tokens};
}

} // namespace lavendertally::backends
