#include "http/internal/bodybuffer.h"

#include <algorithm>
#include <utility>

namespace lavendertally::http {

namespace {

/// Most bodies are smaller and are never copied into blocks.
constexpr std::size_t BlockSize = 64 * 1024;

} // namespace

void BodyBuffer::append(std::string_view data)
{
    m_size += data.size();
    if (m_blocks.empty() && m_size <= BlockSize) {
        m_small.append(data);
        return;
    }
    if (m_blocks.empty()) {
        appendToBlocks(std::exchange(m_small, {}));
    }
    appendToBlocks(data);
}

void BodyBuffer::appendToBlocks(std::string_view data)
{
    while (!data.empty()) {
        if (m_blocks.empty() || m_blocks.back().size() == BlockSize) {
            m_blocks.emplace_back().reserve(BlockSize);
        }
        std::string &block = m_blocks.back();
        const std::size_t count = std::min(data.size(), BlockSize - block.size());
        block.append(data.substr(0, count));
        data.remove_prefix(count);
    }
}

std::size_t BodyBuffer::memory() const
{
    return m_blocks.empty() ? m_small.capacity() : m_blocks.size() * BlockSize;
}

std::string BodyBuffer::take()
{
    if (m_blocks.empty()) {
        return std::move(m_small);
    }
    std::string whole;
    whole.reserve(m_size);
    for (std::string &block : m_blocks) {
        whole.append(block);
        std::string().swap(block);
    }
    m_blocks.clear();
    return whole;
}

} // namespace lavendertally::http
