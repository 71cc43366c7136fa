#include "serving/types/servingconfiguration.h"

#include <algorithm>
#include <string>
#include <utility>

namespace lavendertally::serving {

ServingConfiguration::ServingConfiguration(framework::ConfigurationVersion version,
                                           std::vector<Route> routes,
                                           std::vector<ServiceSpec> services, RequestLimits limits,
                                           std::optional<std::vector<TeamEntry>> teams)
    : m_version(version), m_routes(std::move(routes)), m_limits(limits), m_teams(std::move(teams))
{
    for (ServiceSpec &service : services) {
        framework::ServiceId id = service.id;
        m_services.emplace(std::move(id), std::move(service));
    }
    for (std::size_t index = 0; index < m_routes.size(); ++index) {
        m_routesByHost[m_routes[index].hostName].push_back(index);
    }
    for (auto &[host, indexes] : m_routesByHost) {
        std::stable_sort(indexes.begin(), indexes.end(), [this](std::size_t a, std::size_t b) {
            return m_routes[a].prefix.size() > m_routes[b].prefix.size();
        });
    }
    for (std::size_t index = 0; m_teams && index < m_teams->size(); ++index) {
        for (const framework::ApiKey &key : (*m_teams)[index].keys) {
            m_teamsByKey.emplace(key, index);
        }
    }
}

const Route *ServingConfiguration::findRoute(std::string_view hostName, std::string_view path) const
{
    const auto found = m_routesByHost.find(std::string(hostName));
    if (found == m_routesByHost.end()) {
        return nullptr;
    }
    for (const std::size_t index : found->second) {
        if (path.starts_with(m_routes[index].prefix)) {
            return &m_routes[index];
        }
    }
    return nullptr;
}

const ServiceSpec *ServingConfiguration::findService(const framework::ServiceId &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second;
}

const TeamEntry *ServingConfiguration::findTeam(const framework::ApiKey &key) const
{
    const auto found = m_teamsByKey.find(key);
    return found == m_teamsByKey.end() ? nullptr : &(*m_teams)[found->second];
}

} // namespace lavendertally::serving
