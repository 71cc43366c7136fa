#include "platform/internal/eventstreamreader.h"

#include <charconv>

namespace lavendertally::platform {

namespace {

/// An event holds the text of some tokens.
constexpr std::size_t MaxEventBytes = 64 * 1024;

/// Comments that keep a connection open have a few bytes each.
constexpr std::size_t MaxBytesWithoutEvent = 64 * 1024;

/// \return whether the block has a field that makes it an event: an id or data
bool isEvent(std::string_view block)
{
    std::size_t position = 0;
    while (position < block.size()) {
        const std::string_view line = block.substr(position);
        if (line.starts_with("data:") || line.starts_with("id:")) {
            return true;
        }
        position = std::min(block.find('\n', position), block.size() - 1) + 1;
    }
    return false;
}

std::optional<framework::StreamEventId> readId(std::string_view event)
{
    constexpr std::string_view Field = "id:";
    std::size_t position = 0;
    while (position < event.size()) {
        const std::size_t end = std::min(event.find('\n', position), event.size());
        std::string_view line = event.substr(position, end - position);
        position = end + 1;
        if (!line.starts_with(Field)) {
            continue;
        }
        line.remove_prefix(Field.size());
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        std::uint64_t number = 0;
        const auto parsed = std::from_chars(line.data(), line.data() + line.size(), number);
        if (parsed.ec == std::errc()) {
            return framework::StreamEventId(number);
        }
    }
    return std::nullopt;
}

/// \return the end of the first empty line from \p position on, or npos
std::size_t endOfEvent(std::string_view text, std::size_t position)
{
    std::size_t lineStart = position;
    while (lineStart < text.size()) {
        const std::size_t lineEnd = text.find('\n', lineStart);
        if (lineEnd == std::string_view::npos) {
            return std::string_view::npos;
        }
        const std::string_view line = text.substr(lineStart, lineEnd - lineStart);
        if (line.empty() || line == "\r") {
            return lineEnd + 1;
        }
        lineStart = lineEnd + 1;
    }
    return std::string_view::npos;
}

} // namespace

bool EventStreamReader::isEventTooLong() const
{
    return m_buffer.size() - m_position > MaxEventBytes;
}

bool EventStreamReader::isWithoutEvents() const
{
    return m_bytesWithoutEvent > MaxBytesWithoutEvent;
}

std::optional<proxy::StreamEvent> EventStreamReader::next()
{
    const std::size_t end = endOfEvent(m_buffer, m_position);
    if (end == std::string::npos) {
        m_buffer.erase(0, m_position);
        m_position = 0;
        return std::nullopt;
    }
    proxy::StreamEvent event;
    event.text = m_buffer.substr(m_position, end - m_position);
    event.id = readId(event.text);
    m_position = end;
    m_bytesWithoutEvent = isEvent(event.text) ? 0 : m_bytesWithoutEvent + event.text.size();
    return event;
}

} // namespace lavendertally::platform
