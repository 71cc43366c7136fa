#pragma once

#include "configurationcheck/types/finding.h"
#include "framework/types/milliseconds.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lavendertally::platform {

/// Reads the members of one entry of a configuration, and reports each that is missing, of another
/// type or out of range, with its path. A member that is bad reads as its default.
class EntryReader
{
public:
    /// \param json, findings must outlive this object
    /// \param path path of the entry; empty for the whole configuration
    EntryReader(const nlohmann::json &json, std::string path,
                std::vector<configurationcheck::Finding> &findings);

    std::string text(const char *name);
    bool flagOr(const char *name, bool fallback);
    /// \return a whole number from 0 to the largest 32-bit one
    std::uint32_t count(const char *name);
    std::uint32_t countOr(const char *name, std::uint32_t fallback);
    /// \return a whole number that is not negative
    std::int64_t integer(const char *name);
    /// Like integer() and count(), but a negative number is taken with a warning: it wraps around,
    /// so that -1 is the largest one.
    std::uint64_t wrappingInteger(const char *name);
    std::uint32_t wrappingCountOr(const char *name, std::uint32_t fallback);
    std::int64_t integerOr(const char *name, std::int64_t fallback);
    /// \param factor units of the result in one unit of the file
    /// \return the amount, rounded
    std::int64_t amount(const char *name, std::int64_t factor = 1);
    std::int64_t amountOr(const char *name, std::int64_t fallback, std::int64_t factor = 1);
    framework::Milliseconds time(const char *name) { return framework::Milliseconds(amount(name)); }

    /// \return the list, or an empty one
    const nlohmann::json &list(const char *name);
    const nlohmann::json &listOrEmpty(const char *name);

    /// \return whether the member is there, if only as null
    bool contains(const char *name);

    /// \return the member, or null if it is missing or null
    const nlohmann::json *find(const char *name);

    /// Warns of members that nobody has asked for and that look like one that was: the platform may
    /// add members at any time, but those with nearly the name of a known one are misspelt.
    void reportMisspelt();

    std::string pathOf(const std::string &name) const;
    void report(configurationcheck::Rule rule, const std::string &name, std::string reason);

private:
    const nlohmann::json *expect(const char *name, bool (nlohmann::json::*test)() const noexcept,
                                 const char *type);

    const nlohmann::json &m_json;
    std::string m_path;
    std::vector<std::string_view> m_asked;
    std::vector<configurationcheck::Finding> &m_findings;
};

} // namespace lavendertally::platform
