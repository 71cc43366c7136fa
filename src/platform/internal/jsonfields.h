#pragma once

#include "framework/result.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace lavendertally::platform {

/// Reads the members of a JSON object that comes from outside. Each function remembers a member
/// that is missing or of another type.
class JsonFields
{
public:
    /// \param json must outlive this object
    /// \param where named in the message about a bad member
    JsonFields(const nlohmann::json &json, std::string where);

    std::string text(const char *name);
    bool flag(const char *name);
    std::int64_t integer(const char *name);
    double number(const char *name);
    const nlohmann::json &array(const char *name);

    /// Variants for members that may be missing.
    std::int64_t integerOr(const char *name, std::int64_t fallback);
    double numberOr(const char *name, double fallback);
    bool flagOr(const char *name, bool fallback);

    const nlohmann::json *find(const char *name) const;

    bool isGood() const { return m_problem.empty(); }
    /// \return which member is bad, and where
    const std::string &problem() const { return m_problem; }

private:
    const nlohmann::json *expect(const char *name, bool (nlohmann::json::*test)() const noexcept);
    void fail(const char *name);

    const nlohmann::json &m_json;
    std::string m_where;
    std::string m_problem;
};

} // namespace lavendertally::platform
