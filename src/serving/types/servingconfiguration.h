#pragma once

#include "framework/types/ids.h"
#include "serving/types/requestlimits.h"
#include "serving/types/route.h"
#include "serving/types/servicespec.h"
#include "serving/types/teamentry.h"

#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lavendertally::serving {

/// One complete, immutable version of the configuration.
class ServingConfiguration
{
public:
    /// \param teams nothing if requests need no API key; an empty list has no valid key
    ServingConfiguration(framework::ConfigurationVersion version, std::vector<Route> routes,
                         std::vector<ServiceSpec> services, RequestLimits limits,
                         std::optional<std::vector<TeamEntry>> teams);

    framework::ConfigurationVersion version() const { return m_version; }
    const RequestLimits &limits() const { return m_limits; }
    const std::vector<Route> &routes() const { return m_routes; }
    const std::map<framework::ServiceId, ServiceSpec> &services() const { return m_services; }
    /// \return the teams, or nothing if requests need no API key
    const std::optional<std::vector<TeamEntry>> &teams() const { return m_teams; }

    /// \param path without the query
    /// \return the route with the longest prefix of \p path among those of \p hostName, or null
    const Route *findRoute(std::string_view hostName, std::string_view path) const;

    /// \return the service, or null
    const ServiceSpec *findService(const framework::ServiceId &service) const;

    /// \return whether requests need the API key of a team, except on public routes
    bool requiresKeys() const { return m_teams.has_value(); }

    /// \return the team that owns \p key, or null
    const TeamEntry *findTeam(const framework::ApiKey &key) const;

private:
    framework::ConfigurationVersion m_version;
    std::vector<Route> m_routes;
    std::map<framework::ServiceId, ServiceSpec> m_services;
    RequestLimits m_limits;
    std::optional<std::vector<TeamEntry>> m_teams;
    /// Indexes into m_routes by host name, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> m_routesByHost;
    /// Indexes into m_teams by API key.
    std::unordered_map<framework::ApiKey, std::size_t> m_teamsByKey;
};

} // namespace lavendertally::serving
