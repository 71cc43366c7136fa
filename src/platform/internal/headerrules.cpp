#include "platform/internal/headerrules.h"

#include "http/headerlookup.h"

#include <algorithm>
#include <array>
#include <vector>

namespace lavendertally::platform {

namespace {

/// Fields that concern one connection or the framing of a body (RFC 9110, section 7.6.1).
constexpr std::array<std::string_view, 11> ConnectionFields = {"Connection",
                                                               "Keep-Alive",
                                                               "Proxy-Connection",
                                                               "Proxy-Authenticate",
                                                               "Proxy-Authorization",
                                                               "TE",
                                                               "Trailer",
                                                               "Transfer-Encoding",
                                                               "Upgrade",
                                                               "Content-Length",
                                                               "Expect"};

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::vector<std::string_view> namedByConnection(const http::HttpHeaders &headers)
{
    std::vector<std::string_view> names;
    for (const auto &[name, value] : headers) {
        if (!http::sameHeaderName(name, "Connection")) {
            continue;
        }
        std::string_view rest = value;
        while (!rest.empty()) {
            const std::size_t comma = std::min(rest.find(','), rest.size());
            names.push_back(trimmed(rest.substr(0, comma)));
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return names;
}

bool isOneOf(std::string_view name, std::span<const std::string_view> names)
{
    return std::any_of(names.begin(), names.end(), [name](std::string_view other) {
        return http::sameHeaderName(name, other);
    });
}

} // namespace

http::HttpHeaders passedOnHeaders(const http::HttpHeaders &headers,
                                  std::span<const std::string_view> ownNames)
{
    const std::vector<std::string_view> named = namedByConnection(headers);
    http::HttpHeaders result;
    for (const auto &field : headers) {
        const bool dropped = isOneOf(field.first, ConnectionFields) || isOneOf(field.first, named)
            || isOneOf(field.first, ownNames);
        if (!dropped) {
            result.push_back(field);
        }
    }
    return result;
}

} // namespace lavendertally::platform
