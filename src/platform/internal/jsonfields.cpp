#include "platform/internal/jsonfields.h"

#include <utility>

namespace lavendertally::platform {

JsonFields::JsonFields(const nlohmann::json &json, std::string where)
    : m_json(json), m_where(std::move(where))
{
    if (!json.is_object()) {
        m_problem = m_where + " is not an object";
    }
}

void JsonFields::fail(const char *name)
{
    if (m_problem.empty()) {
        m_problem = m_where + ": " + name + " is missing or of another type";
    }
}

const nlohmann::json *JsonFields::find(const char *name) const
{
    if (!m_json.is_object()) {
        return nullptr;
    }
    const auto found = m_json.find(name);
    return found == m_json.end() || found->is_null() ? nullptr : &*found;
}

const nlohmann::json *JsonFields::expect(const char *name,
                                         bool (nlohmann::json::*test)() const noexcept)
{
    const nlohmann::json *found = find(name);
    if (found == nullptr || !(found->*test)()) {
        fail(name);
        return nullptr;
    }
    return found;
}

std::string JsonFields::text(const char *name)
{
    const nlohmann::json *found = expect(name, &nlohmann::json::is_string);
    return found == nullptr ? std::string() : found->get<std::string>();
}

bool JsonFields::flag(const char *name)
{
    const nlohmann::json *found = expect(name, &nlohmann::json::is_boolean);
    return found != nullptr && found->get<bool>();
}

std::int64_t JsonFields::integer(const char *name)
{
    const nlohmann::json *found = expect(name, &nlohmann::json::is_number_integer);
    return found == nullptr ? 0 : found->get<std::int64_t>();
}

double JsonFields::number(const char *name)
{
    const nlohmann::json *found = expect(name, &nlohmann::json::is_number);
    return found == nullptr ? 0.0 : found->get<double>();
}

const nlohmann::json &JsonFields::array(const char *name)
{
    static const nlohmann::json empty = nlohmann::json::array();
    const nlohmann::json *found = expect(name, &nlohmann::json::is_array);
    return found == nullptr ? empty : *found;
}

std::int64_t JsonFields::integerOr(const char *name, std::int64_t fallback)
{
    return find(name) == nullptr ? fallback : integer(name);
}

double JsonFields::numberOr(const char *name, double fallback)
{
    return find(name) == nullptr ? fallback : number(name);
}

bool JsonFields::flagOr(const char *name, bool fallback)
{
    return find(name) == nullptr ? fallback : flag(name);
}

} // namespace lavendertally::platform
