#pragma once

#include "proxy/types/streamevent.h"

#include <optional>
#include <string>
#include <string_view>

namespace lavendertally::platform {

/// Cuts a stream of server-sent events (text/event-stream) into whole events.
class EventStreamReader
{
public:
    void append(std::string_view data) { m_buffer.append(data); }

    /// \return the next whole event, or nothing
    std::optional<proxy::StreamEvent> next();

    /// \return whether an event has grown beyond what any engine sends; it may never end
    bool isEventTooLong() const;
    /// \return whether so much text without an event has come that this is no stream of events
    bool isWithoutEvents() const;
    /// \return whether an event has begun and is not complete
    bool hasPartialEvent() const { return m_position < m_buffer.size(); }

private:
    std::string m_buffer;
    std::size_t m_position = 0;
    /// Bytes of comments and other text since the last event.
    std::size_t m_bytesWithoutEvent = 0;
};

} // namespace lavendertally::platform
