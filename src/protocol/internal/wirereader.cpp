#include "protocol/internal/wirereader.h"

namespace lavendertally::protocol {

namespace {

constexpr std::uint64_t TypeMask = 7;
constexpr std::uint32_t TypeBits = 3;
constexpr std::uint64_t MaxField = (1U << 29) - 1;
constexpr std::uint32_t VarintBits = 7;
constexpr std::uint32_t MaxVarintBytes = 10;
constexpr unsigned char Continues = 0x80;
constexpr std::uint32_t ByteBits = 8;

} // namespace

bool WireReader::takeVarint(std::string_view &bytes, std::uint64_t &value)
{
    value = 0;
    for (std::uint32_t index = 0; index < MaxVarintBytes && index < bytes.size(); ++index) {
        const auto byte = static_cast<unsigned char>(bytes[index]);
        value |= static_cast<std::uint64_t>(byte & (Continues - 1U)) << (VarintBits * index);
        if (byte < Continues) {
            bytes.remove_prefix(index + 1);
            return true;
        }
    }
    return false;
}

bool WireReader::fail()
{
    m_isGood = false;
    m_bytes = {};
    return false;
}

bool WireReader::next()
{
    if (m_bytes.empty()) {
        return false;
    }
    std::uint64_t tag = 0;
    if (!takeVarint(m_bytes, tag) || (tag >> TypeBits) == 0 || (tag >> TypeBits) > MaxField) {
        return fail();
    }
    m_field = static_cast<std::uint32_t>(tag >> TypeBits);
    m_number = 0;
    m_content = {};
    m_isLengthDelimited = false;
    std::uint64_t length = 0;
    switch (tag & TypeMask) {
    case 0:
        return takeVarint(m_bytes, m_number) || fail();
    case 1:
        length = 8;
        break;
    case 2:
        m_isLengthDelimited = true;
        if (!takeVarint(m_bytes, length)) {
            return fail();
        }
        break;
    case 5:
        length = 4;
        break;
    default:
        return fail();
    }
    if (length > m_bytes.size()) {
        return fail();
    }
    m_content = m_bytes.substr(0, length);
    m_bytes.remove_prefix(length);
    if (!m_isLengthDelimited) {
        for (std::size_t index = 0; index < m_content.size(); ++index) {
            m_number |= static_cast<std::uint64_t>(static_cast<unsigned char>(m_content[index]))
                << (ByteBits * index);
        }
        m_content = {};
    }
    return true;
}

} // namespace lavendertally::protocol
