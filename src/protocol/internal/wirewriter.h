#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace lavendertally::protocol {

/// Writes fields in the wire format of protobuf. Like proto3, it leaves out zeros and empty texts.
class WireWriter
{
public:
    void number(std::uint32_t field, std::uint64_t value);
    void fixed(std::uint32_t field, std::uint64_t value);
    void text(std::uint32_t field, std::string_view value);
    /// \param content encoded message; written also if it is empty
    void message(std::uint32_t field, std::string_view content);
    void packed(std::uint32_t field, const std::string &content) { text(field, content); }

    static void appendVarint(std::string &target, std::uint64_t value);

    std::string take() { return std::move(m_bytes); }

private:
    std::string m_bytes;
};

} // namespace lavendertally::protocol
