#include "protocol/internal/wirewriter.h"

namespace lavendertally::protocol {

namespace {

constexpr std::uint32_t TypeBits = 3;
constexpr std::uint32_t VarintType = 0;
constexpr std::uint32_t FixedType = 1;
constexpr std::uint32_t LengthType = 2;
constexpr std::uint64_t Continues = 0x80;
constexpr std::uint32_t VarintBits = 7;
constexpr std::uint32_t ByteBits = 8;
constexpr std::uint32_t FixedBytes = 8;

} // namespace

void WireWriter::appendVarint(std::string &target, std::uint64_t value)
{
    while (value >= Continues) {
        target += static_cast<char>((value & (Continues - 1)) | Continues);
        value >>= VarintBits;
    }
    target += static_cast<char>(value);
}

void WireWriter::number(std::uint32_t field, std::uint64_t value)
{
    if (value != 0) {
        appendVarint(m_bytes, (field << TypeBits) | VarintType);
        appendVarint(m_bytes, value);
    }
}

void WireWriter::fixed(std::uint32_t field, std::uint64_t value)
{
    if (value == 0) {
        return;
    }
    appendVarint(m_bytes, (field << TypeBits) | FixedType);
    for (std::uint32_t byte = 0; byte < FixedBytes; ++byte) {
        m_bytes += static_cast<char>((value >> (ByteBits * byte)) & 0xff);
    }
}

void WireWriter::text(std::uint32_t field, std::string_view value)
{
    if (!value.empty()) {
        message(field, value);
    }
}

void WireWriter::message(std::uint32_t field, std::string_view content)
{
    appendVarint(m_bytes, (field << TypeBits) | LengthType);
    appendVarint(m_bytes, content.size());
    m_bytes.append(content);
}

} // namespace lavendertally::protocol
