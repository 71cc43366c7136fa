#include "operatortool/internal/jsonplacescan.h"

#include <algorithm>
#include <utility>

namespace lavendertally::operatortool {

JsonPlaceScan::JsonPlaceScan(std::string_view text, JsonPlaces &places)
    : m_text(text), m_places(places)
{ }

void JsonPlaceScan::run()
{
    while (m_offset < m_text.size()) {
        step(m_text[m_offset]);
    }
}

void JsonPlaceScan::step(char character)
{
    switch (character) {
    case '{':
    case '[':
        open(character == '[');
        break;
    case '}':
    case ']':
        close();
        break;
    case '"':
        readText();
        break;
    case ',':
        if (!m_levels.empty()) {
            m_levels.back().expectsName = !m_levels.back().isList;
        }
        ++m_offset;
        break;
    case ':':
    case ' ':
    case '\t':
    case '\r':
    case '\n':
        ++m_offset;
        break;
    default:
        skipLiteral();
    }
}

void JsonPlaceScan::open(bool isList)
{
    Level level;
    level.path = beginValue();
    level.isList = isList;
    level.expectsName = !isList;
    m_levels.push_back(std::move(level));
    ++m_offset;
}

void JsonPlaceScan::close()
{
    if (!m_levels.empty()) {
        m_levels.pop_back();
    }
    ++m_offset;
}

void JsonPlaceScan::readText()
{
    const std::size_t begin = m_offset++;
    while (m_offset < m_text.size() && m_text[m_offset] != '"') {
        m_offset += m_text[m_offset] == '\\' ? 2 : 1;
    }
    const std::size_t end = std::min(m_offset, m_text.size());
    m_offset = end + 1;
    if (!m_levels.empty() && m_levels.back().expectsName) {
        readName(m_text.substr(begin + 1, end - begin - 1), begin);
        return;
    }
    const std::size_t after = std::exchange(m_offset, begin);
    beginValue();
    m_offset = after;
}

void JsonPlaceScan::readName(std::string_view name, std::size_t offset)
{
    Level &level = m_levels.back();
    level.expectsName = false;
    level.member = level.path.empty() ? std::string(name) : level.path + "." + std::string(name);
    m_places.m_offsets[level.member] = offset;
    if (!level.names.insert(name).second) {
        m_places.m_duplicates.push_back(level.member);
    }
}

void JsonPlaceScan::skipLiteral()
{
    beginValue();
    constexpr std::string_view Delimiters = ",:]}{[\" \t\r\n";
    const std::size_t end = m_text.find_first_of(Delimiters, m_offset + 1);
    m_offset = end == std::string_view::npos ? m_text.size() : end;
}

std::string JsonPlaceScan::beginValue()
{
    if (m_levels.empty()) {
        return {};
    }
    Level &level = m_levels.back();
    if (!level.isList) {
        return level.member;
    }
    std::string path = level.path + "[" + std::to_string(level.nextItem++) + "]";
    m_places.m_offsets[path] = m_offset;
    return path;
}

} // namespace lavendertally::operatortool
