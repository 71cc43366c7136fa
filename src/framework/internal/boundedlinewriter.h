#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace lavendertally::framework {

/// Writes lines to a file descriptor without ever waiting for its reader. Lines that do not fit
/// into the buffer are dropped and counted.
class BoundedLineWriter
{
public:
    /// \param file descriptor that stays open
    /// \param capacity bytes that are kept for a reader that is behind
    BoundedLineWriter(int file, std::size_t capacity);

    /// \param line without its line feed
    void add(std::string_view line);

    /// \return lines dropped so far
    std::uint64_t dropped() const { return m_dropped; }

private:
    void writeWhatFits();

    int m_file;
    std::size_t m_capacity;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reported = 0;
};

} // namespace lavendertally::framework
