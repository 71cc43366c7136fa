#pragma once

#include "membership/imembership.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lavendertally::routing {

/// Fake membership whose hosts are set by the test.
class FakeMembership final : public membership::IMembership
{
public:
    /// Adds a backend host of \p service.
    void addBackendHost(const framework::ServiceId &service, const std::string &host,
                        const std::string &zone)
    {
        membership::HostEntry entry;
        entry.id = framework::HostId(host);
        entry.zone = framework::AvailabilityZoneId(zone);
        entry.service = service;
        m_backends[service].push_back(std::move(entry));
        changed();
    }

    void addEntry(const std::string &host, const std::string &zone)
    {
        membership::HostEntry entry;
        entry.id = framework::HostId(host);
        entry.zone = framework::AvailabilityZoneId(zone);
        entry.role = membership::HostRole::Entry;
        m_entries.push_back(std::move(entry));
        changed();
    }

    void setAdmitting(const framework::HostId &host, bool admitting)
    {
        setAdmittingWithoutGenerationChange(host, admitting);
        changed();
    }

    /// Changes whether \p host admits work, but keeps the generation, so that a selector still
    /// holds the subset that it derived before.
    void setAdmittingWithoutGenerationChange(const framework::HostId &host, bool admitting)
    {
        if (admitting) {
            m_notAdmitting.erase(host);
        } else {
            m_notAdmitting.insert(host);
        }
    }

    membership::MembershipGeneration generation() const override { return m_generation; }

    std::vector<membership::HostEntry>
    admittingHosts(const framework::ServiceId &service) const override
    {
        std::vector<membership::HostEntry> hosts;
        const auto found = m_backends.find(service);
        if (found != m_backends.end()) {
            hosts = found->second;
        }
        std::erase_if(hosts, [this](const auto &host) { return m_notAdmitting.contains(host.id); });
        return hosts;
    }

    bool mayReceiveWork(const framework::HostId &host,
                        const framework::AvailabilityZoneId & /*zone*/) const override
    {
        return !m_notAdmitting.contains(host);
    }

    std::vector<membership::HostEntry> entryHosts() const override { return m_entries; }

private:
    void changed() { m_generation = m_generation.next(); }

    membership::MembershipGeneration m_generation;
    std::map<framework::ServiceId, std::vector<membership::HostEntry>> m_backends;
    std::vector<membership::HostEntry> m_entries;
    std::set<framework::HostId> m_notAdmitting;
};

} // namespace lavendertally::routing
