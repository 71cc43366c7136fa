#include "platform/internal/entryreader.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <limits>
#include <utility>

namespace lavendertally::platform {

namespace {

using configurationcheck::Rule;

/// Whole numbers up to this size are exact in JSON's floating point numbers.
constexpr double MaxAmount = 9007199254740992.0;

/// \return \p name in lower case, without characters that are often put in or left out
std::string simplified(std::string_view name)
{
    std::string result;
    for (const char character : name) {
        if (character != '_' && character != '-') {
            result.push_back(
                static_cast<char>(std::tolower(static_cast<unsigned char>(character))));
        }
    }
    return result;
}

/// \return whether one character more, less or another one makes \p a into \p b
bool differByOneCharacter(std::string_view a, std::string_view b)
{
    if (a.size() > b.size()) {
        std::swap(a, b);
    }
    if (b.size() - a.size() > 1) {
        return false;
    }
    const auto begin = static_cast<std::size_t>(
        std::mismatch(a.begin(), a.end(), b.begin(), b.end()).first - a.begin());
    const std::size_t skipped = a.size() == b.size() ? 1 : 0;
    return a.size() == begin || a.substr(begin + skipped) == b.substr(begin + 1);
}

/// Shorter names resemble each other by chance.
constexpr std::size_t MinComparedName = 4;

bool resemble(std::string_view a, std::string_view b)
{
    const std::string first = simplified(a);
    const std::string second = simplified(b);
    return first == second
        || (std::min(first.size(), second.size()) >= MinComparedName
            && differByOneCharacter(first, second));
}

} // namespace

EntryReader::EntryReader(const nlohmann::json &json, std::string path,
                         std::vector<configurationcheck::Finding> &findings)
    : m_json(json), m_path(std::move(path)), m_findings(findings)
{
    if (!json.is_object()) {
        m_findings.push_back({Rule::WrongType, m_path, "is not an object", {}});
    }
}

std::string EntryReader::pathOf(const std::string &name) const
{
    return m_path.empty() ? name : m_path + "." + name;
}

void EntryReader::reportMisspelt()
{
    if (!m_json.is_object()) {
        return;
    }
    for (const auto &[name, value] : m_json.items()) {
        if (std::find(m_asked.begin(), m_asked.end(), name) != m_asked.end()) {
            continue;
        }
        const auto meant =
            std::find_if(m_asked.begin(), m_asked.end(),
                         [&name = name](std::string_view asked) { return resemble(name, asked); });
        if (meant != m_asked.end()) {
            report(Rule::MisspeltMember, name, "is not read; the name is " + std::string(*meant));
        }
    }
}

void EntryReader::report(Rule rule, const std::string &name, std::string reason)
{
    m_findings.push_back({rule, pathOf(name), std::move(reason), {}});
}

bool EntryReader::contains(const char *name)
{
    m_asked.push_back(name);
    return m_json.is_object() && m_json.contains(name);
}

const nlohmann::json *EntryReader::find(const char *name)
{
    m_asked.push_back(name);
    if (!m_json.is_object()) {
        return nullptr;
    }
    const auto found = m_json.find(name);
    return found == m_json.end() || found->is_null() ? nullptr : &*found;
}

const nlohmann::json *EntryReader::expect(const char *name,
                                          bool (nlohmann::json::*test)() const noexcept,
                                          const char *type)
{
    const nlohmann::json *found = find(name);
    if (found != nullptr && (found->*test)()) {
        return found;
    }
    // An entry that is no object was reported as a whole.
    if (m_json.is_object()) {
        report(Rule::WrongType, name,
               found == nullptr ? "is missing" : std::string("is not ") + type);
    }
    return nullptr;
}

std::string EntryReader::text(const char *name)
{
    const nlohmann::json *found = expect(name, &nlohmann::json::is_string, "a text");
    return found == nullptr ? std::string() : found->get<std::string>();
}

bool EntryReader::flagOr(const char *name, bool fallback)
{
    if (find(name) == nullptr) {
        return fallback;
    }
    const nlohmann::json *found = expect(name, &nlohmann::json::is_boolean, "true or false");
    return found == nullptr ? fallback : found->get<bool>();
}

std::int64_t EntryReader::integer(const char *name)
{
    const nlohmann::json *found =
        expect(name, &nlohmann::json::is_number_integer, "a whole number");
    if (found == nullptr) {
        return 0;
    }
    const bool isTooLarge = found->is_number_unsigned()
        && found->get<std::uint64_t>()
            > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (isTooLarge || found->get<std::int64_t>() < 0) {
        report(Rule::OutOfRange, name, "is negative or too large");
        return 0;
    }
    return found->get<std::int64_t>();
}

std::uint64_t EntryReader::wrappingInteger(const char *name)
{
    const nlohmann::json *found = find(name);
    if (found == nullptr || !found->is_number_integer() || found->is_number_unsigned()
        || found->get<std::int64_t>() >= 0) {
        return static_cast<std::uint64_t>(integer(name));
    }
    report(Rule::ToleratedValue, name, "is negative, which is taken for a very large number");
    return static_cast<std::uint64_t>(found->get<std::int64_t>());
}

std::uint32_t EntryReader::wrappingCountOr(const char *name, std::uint32_t fallback)
{
    const nlohmann::json *found = find(name);
    const bool isNegative =
        found != nullptr && found->is_number_integer() && found->get<double>() < 0.0;
    return isNegative ? static_cast<std::uint32_t>(wrappingInteger(name)) : countOr(name, fallback);
}

std::int64_t EntryReader::integerOr(const char *name, std::int64_t fallback)
{
    return find(name) == nullptr ? fallback : integer(name);
}

std::uint32_t EntryReader::count(const char *name)
{
    const std::int64_t value = integer(name);
    if (value > std::numeric_limits<std::uint32_t>::max()) {
        report(Rule::OutOfRange, name, "is too large");
        return 0;
    }
    return static_cast<std::uint32_t>(value);
}

std::uint32_t EntryReader::countOr(const char *name, std::uint32_t fallback)
{
    return find(name) == nullptr ? fallback : count(name);
}

std::int64_t EntryReader::amount(const char *name, std::int64_t factor)
{
    const nlohmann::json *found = expect(name, &nlohmann::json::is_number, "a number");
    if (found == nullptr) {
        return 0;
    }
    const double value = found->get<double>() * static_cast<double>(factor);
    if (value < 0.0 || value > MaxAmount) {
        report(Rule::OutOfRange, name, "is negative or too large");
        return 0;
    }
    return std::llround(value);
}

std::int64_t EntryReader::amountOr(const char *name, std::int64_t fallback, std::int64_t factor)
{
    return find(name) == nullptr ? fallback : amount(name, factor);
}

const nlohmann::json &EntryReader::list(const char *name)
{
    static const nlohmann::json empty = nlohmann::json::array();
    const nlohmann::json *found = expect(name, &nlohmann::json::is_array, "a list");
    return found == nullptr ? empty : *found;
}

const nlohmann::json &EntryReader::listOrEmpty(const char *name)
{
    static const nlohmann::json empty = nlohmann::json::array();
    return find(name) == nullptr ? empty : list(name);
}

} // namespace lavendertally::platform
