#include "platform/internal/entryreader.h"

#include <cmath>
#include <limits>
#include <utility>

namespace lavendertally::platform {

namespace {

using configurationcheck::Rule;

/// Whole numbers up to this size are exact in JSON's floating point numbers.
constexpr double MaxAmount = 9007199254740992.0;

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

void EntryReader::report(Rule rule, const std::string &name, std::string reason)
{
    m_findings.push_back({rule, pathOf(name), std::move(reason), {}});
}

const nlohmann::json *EntryReader::find(const char *name) const
{
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
