#pragma once

#include "configurationcheck/types/configurationdraft.h"

#include <unordered_map>

namespace lavendertally::configurationcheck {

/// Services of a draft by id; of equal ids the first, as in serving::ServingConfiguration.
class ServiceIndex
{
public:
    /// \param draft outlives this object
    explicit ServiceIndex(const ConfigurationDraft &draft)
    {
        for (const serving::ServiceSpec &service : draft.services) {
            m_services.emplace(service.id, &service);
        }
    }

    /// \return the service, or null
    const serving::ServiceSpec *find(const framework::ServiceId &id) const
    {
        const auto found = m_services.find(id);
        return found == m_services.end() ? nullptr : found->second;
    }

private:
    std::unordered_map<framework::ServiceId, const serving::ServiceSpec *> m_services;
};

} // namespace lavendertally::configurationcheck
