#pragma once

#include "membership/ibackendservers.h"

#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace lavendertally::membership {

/// Fake set of backend servers, all of which admit work.
class FakeBackendServers final : public IBackendServers
{
public:
    void add(const BackendServerEntry &entry)
    {
        m_entries[entry.id] = entry;
        rebuild();
    }
    void remove(const framework::BackendServerId &server)
    {
        m_entries.erase(server);
        rebuild();
    }

    MembershipGeneration generation() const override { return m_generation; }
    const std::vector<const BackendServerEntry *> &
    admitting(const framework::ServiceId &service) const override
    {
        return m_byService[service];
    }
    const BackendServerEntry *findAdmitting(const framework::BackendServerId &server) const override
    {
        const auto found = m_entries.find(server);
        return found == m_entries.end() ? nullptr : &found->second;
    }
    bool isReady(const framework::BackendServerId &server) const override
    {
        return m_entries.contains(server);
    }
    bool isZoneOut(const framework::AvailabilityZoneId & /*zone*/) const override { return false; }

private:
    void rebuild()
    {
        m_generation = m_generation.next();
        m_byService.clear();
        for (const auto &[id, entry] : m_entries) {
            m_byService[entry.service].push_back(&entry);
        }
    }

    MembershipGeneration m_generation;
    std::map<framework::BackendServerId, BackendServerEntry> m_entries;
    mutable std::map<framework::ServiceId, std::vector<const BackendServerEntry *>> m_byService;
};

} // namespace lavendertally::membership
