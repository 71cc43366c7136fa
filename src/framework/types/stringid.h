#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace lavendertally::framework {

/// Identifier held as text. Identifiers with different tags do not convert into each other.
/// \tparam Tag empty type that names the kind of identifier
template <typename Tag>
class StringId
{
public:
    StringId() = default;
    explicit StringId(std::string value) : m_value(std::move(value)) { }

    const std::string &value() const { return m_value; }
    bool isEmpty() const { return m_value.empty(); }

    auto operator<=>(const StringId &) const = default;

    friend std::ostream &operator<<(std::ostream &stream, const StringId &id)
    {
        return stream << id.m_value;
    }

private:
    std::string m_value;
};

} // namespace lavendertally::framework

template <typename Tag>
struct std::hash<lavendertally::framework::StringId<Tag>>
{
    std::size_t operator()(const lavendertally::framework::StringId<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.value());
    }
};
