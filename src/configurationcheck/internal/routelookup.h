#pragma once

#include "serving/types/route.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace lavendertally::configurationcheck {

/// Finds the routes that get requests, as serving::ServingConfiguration does.
class RouteLookup
{
public:
    /// \param routes outlive this object
    explicit RouteLookup(const std::vector<serving::Route> &routes) : m_routes(routes)
    {
        for (std::size_t index = 0; index < routes.size(); ++index) {
            m_first.emplace(HostAndPrefix(routes[index].hostName, routes[index].prefix), index);
        }
    }

    /// \return whether the route at \p index is the first of its host and prefix
    bool isReached(std::size_t index) const
    {
        return findExact(m_routes[index].hostName, m_routes[index].prefix) == index;
    }

    /// \return the first route with exactly this host and prefix
    std::optional<std::size_t> findExact(std::string_view host, std::string_view prefix) const
    {
        const auto found = m_first.find(HostAndPrefix(host, prefix));
        return found == m_first.end() ? std::nullopt : std::optional(found->second);
    }

    /// \return the route that gets requests for \p path
    std::optional<std::size_t> find(std::string_view host, std::string_view path) const
    {
        for (std::size_t length = path.size() + 1; length > 0; --length) {
            if (const auto found = findExact(host, path.substr(0, length - 1))) {
                return found;
            }
        }
        return std::nullopt;
    }

private:
    using HostAndPrefix = std::pair<std::string_view, std::string_view>;

    const std::vector<serving::Route> &m_routes;
    std::map<HostAndPrefix, std::size_t> m_first;
};

} // namespace lavendertally::configurationcheck
