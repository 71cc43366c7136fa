#include "operatortool/internal/jsonplaces.h"

#include "operatortool/internal/jsonplacescan.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace lavendertally::operatortool {

namespace {

/// \return whether \p byte continues a character of UTF-8
bool isContinuation(char byte)
{
    constexpr unsigned Mask = 0xC0;
    constexpr unsigned Continuation = 0x80;
    return (static_cast<unsigned char>(byte) & Mask) == Continuation;
}

} // namespace

JsonPlaces::JsonPlaces(std::string_view text) : m_text(text), m_lineStarts{0}
{
    for (std::size_t offset = 0; offset < text.size(); ++offset) {
        if (text[offset] == '\n') {
            m_lineStarts.push_back(offset + 1);
        }
    }
    JsonPlaceScan(text, *this).run();
}

TextPosition JsonPlaces::find(const std::string &path) const
{
    std::string nearest = path;
    while (!nearest.empty()) {
        const auto found = m_offsets.find(nearest);
        if (found != m_offsets.end()) {
            return at(found->second);
        }
        const std::size_t end = nearest.find_last_of(".[");
        nearest.resize(end == std::string::npos ? 0 : end);
    }
    return {};
}

TextPosition JsonPlaces::parseError() const
{
    try {
        [[maybe_unused]] const auto parsed = nlohmann::json::parse(m_text);
    } catch (const nlohmann::json::parse_error &error) {
        return at(error.byte == 0 ? 0 : error.byte - 1);
    } catch (const nlohmann::json::exception &) {
        // A number that is too large; the parser does not tell where.
        return {};
    }
    return {};
}

TextPosition JsonPlaces::at(std::size_t offset) const
{
    const std::size_t end = std::min(offset, m_text.size());
    const auto next = std::upper_bound(m_lineStarts.begin(), m_lineStarts.end(), end);
    const std::size_t start = *std::prev(next);
    const std::string_view before = m_text.substr(start, end - start);
    const auto characters =
        std::count_if(before.begin(), before.end(), [](char c) { return !isContinuation(c); });
    return {static_cast<int>(next - m_lineStarts.begin()), static_cast<int>(characters) + 1};
}

} // namespace lavendertally::operatortool
