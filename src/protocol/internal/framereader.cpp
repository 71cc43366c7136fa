#include "protocol/internal/framereader.h"

#include "protocol/types/protocolerror.h"

#include <cstdint>

namespace lavendertally::protocol {

namespace {

constexpr std::size_t HeaderSize = 4;
/// Payload bytes.
constexpr std::uint32_t MaxFrameSize = 16 * 1024 * 1024;
constexpr int BitsPerByte = 8;

std::uint32_t readLength(std::string_view header)
{
    std::uint32_t length = 0;
    for (std::size_t i = 0; i < HeaderSize; ++i) {
        length = (length << BitsPerByte) | static_cast<unsigned char>(header[i]);
    }
    return length;
}

} // namespace

std::string IFrameReader::frame(std::string_view message)
{
    std::string result(HeaderSize, '\0');
    std::size_t length = message.size();
    for (std::size_t i = HeaderSize; i > 0; --i) {
        result[i - 1] = static_cast<char>(length & 0xff);
        length >>= BitsPerByte;
    }
    result.append(message);
    return result;
}

void FrameReader::append(std::string_view bytes)
{
    m_buffer.erase(0, m_position);
    m_position = 0;
    m_buffer.append(bytes);
}

framework::Result<std::optional<std::string>> FrameReader::next()
{
    const std::string_view remaining = std::string_view(m_buffer).substr(m_position);
    if (remaining.size() < HeaderSize) {
        return std::optional<std::string>();
    }
    const std::uint32_t length = readLength(remaining);
    if (length > MaxFrameSize) {
        return framework::leaf::new_error(ProtocolError::TooLarge);
    }
    if (remaining.size() < HeaderSize + length) {
        return std::optional<std::string>();
    }
    m_position += HeaderSize + length;
    return std::optional<std::string>(remaining.substr(HeaderSize, length));
}

} // namespace lavendertally::protocol
