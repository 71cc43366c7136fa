#pragma once

#include "membership/imembership.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lavendertally::routing {

/// Membership that a test changes at will.
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
        m_workers[service].push_back(std::move(entry));
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
        setAdmittingUnnoticed(host, admitting);
        changed();
    }

    /// Changes what a host may receive without a new generation.
    void setAdmittingUnnoticed(const framework::HostId &host, bool admitting)
    {
        if (admitting) {
            m_closed.erase(host);
        } else {
            m_closed.insert(host);
        }
    }

    membership::MembershipGeneration generation() const override { return m_generation; }

    std::vector<membership::HostEntry>
    admittingHosts(const framework::ServiceId &service) const override
    {
        std::vector<membership::HostEntry> hosts;
        const auto found = m_workers.find(service);
        if (found != m_workers.end()) {
            hosts = found->second;
        }
        std::erase_if(hosts, [this](const auto &host) { return m_closed.contains(host.id); });
        return hosts;
    }

    bool mayReceiveWork(const framework::HostId &host,
                        const framework::AvailabilityZoneId & /*zone*/) const override
    {
        return !m_closed.contains(host);
    }

    std::vector<membership::HostEntry> entryHosts() const override { return m_entries; }

private:
    void changed() { m_generation = m_generation.next(); }

    membership::MembershipGeneration m_generation;
    std::map<framework::ServiceId, std::vector<membership::HostEntry>> m_workers;
    std::vector<membership::HostEntry> m_entries;
    std::set<framework::HostId> m_closed;
};

} // namespace lavendertally::routing
