#include "framework/internal/boundedlinewriter.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace lavendertally::framework {

BoundedLineWriter::BoundedLineWriter(int file, std::size_t capacity)
    : m_file(file), m_capacity(capacity)
{ }

void BoundedLineWriter::add(std::string_view line)
{
    writeWhatFits();
    if (m_buffer.size() + line.size() + 1 > m_capacity) {
        ++m_dropped;
        return;
    }
    if (m_dropped > m_reported) {
        m_buffer.append("{\"event\":\"log lines dropped\",\"lines\":\"")
            .append(std::to_string(m_dropped - m_reported))
            .append("\"}\n");
        m_reported = m_dropped;
    }
    m_buffer.append(line).append("\n");
    writeWhatFits();
}

void BoundedLineWriter::writeWhatFits()
{
    while (!m_buffer.empty()) {
        pollfd ready{m_file, POLLOUT, 0};
        if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
            return;
        }
        // A pipe that is ready takes at least this much without waiting.
        const std::size_t size = std::min<std::size_t>(m_buffer.size(), PIPE_BUF);
        const ssize_t written = write(m_file, m_buffer.data(), size);
        if (written <= 0) {
            return;
        }
        m_buffer.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace lavendertally::framework
