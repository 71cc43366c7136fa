#include "http/headerlookup.h"

#include <algorithm>

namespace lavendertally::http {

namespace {

char lowerCase(char character)
{
    const bool upper = character >= 'A' && character <= 'Z';
    return upper ? static_cast<char>(character - 'A' + 'a') : character;
}

} // namespace

bool sameHeaderName(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(),
                      [](char a, char b) { return lowerCase(a) == lowerCase(b); });
}

std::optional<std::string_view> findHeader(const HttpHeaders &headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [name](const auto &field) {
        return sameHeaderName(field.first, name);
    });
    if (found == headers.end()) {
        return std::nullopt;
    }
    return std::string_view(found->second);
}

std::size_t countHeaders(const HttpHeaders &headers, std::string_view name)
{
    return static_cast<std::size_t>(
        std::count_if(headers.begin(), headers.end(),
                      [name](const auto &field) { return sameHeaderName(field.first, name); }));
}

} // namespace lavendertally::http
