#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace lavendertally::http {

/// Request body while it arrives. Large ones are kept in blocks of one size, so that the memory
/// taken stays close to what has arrived; a string that grows would take up to three times as much.
class BodyBuffer
{
public:
    void append(std::string_view data);
    /// \return bytes of memory that the body takes
    std::size_t memory() const;
    /// \return the whole body, which is empty afterwards
    std::string take();

private:
    void appendToBlocks(std::string_view data);

    /// Bodies up to the size of a block.
    std::string m_small;
    std::vector<std::string> m_blocks;
    std::size_t m_size = 0;
};

} // namespace lavendertally::http
