#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace lavendertally::protocol {

/// Reads fields in the wire format of protobuf one after the other.
class WireReader
{
public:
    explicit WireReader(std::string_view bytes) : m_bytes(bytes) { }

    /// Goes on to the next field.
    /// \return false at the end or at bytes that cannot be read
    bool next();
    /// \return false if some bytes could not be read
    bool isGood() const { return m_isGood; }

    std::uint32_t field() const { return m_field; }
    /// \return value of a number, fixed or not; zero for other types
    std::uint64_t number() const { return m_number; }
    /// \return content of a text, a message or packed numbers; empty for other types
    std::string_view content() const { return m_content; }
    bool isLengthDelimited() const { return m_isLengthDelimited; }

    /// Takes one number off the front of packed ones.
    /// \return whether there was one
    static bool takeVarint(std::string_view &bytes, std::uint64_t &value);

private:
    bool fail();

    std::string_view m_bytes;
    std::uint32_t m_field = 0;
    std::uint64_t m_number = 0;
    std::string_view m_content;
    bool m_isLengthDelimited = false;
    bool m_isGood = true;
};

} // namespace lavendertally::protocol
