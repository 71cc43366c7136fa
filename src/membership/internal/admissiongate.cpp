#include "membership/internal/admissiongate.h"

#include "configuration/types/configurationview.h"

#include <utility>

namespace lavendertally::membership {

AdmissionGate::AdmissionGate(framework::HostId host, framework::AvailabilityZoneId zone)
    : m_host(std::move(host)), m_zone(std::move(zone))
{ }

protocol::RefusalReason AdmissionGate::refusal() const
{
    if (m_draining || m_leaving) {
        return protocol::RefusalReason::Leaving;
    }
    if (m_zoneOut) {
        return protocol::RefusalReason::ZoneOut;
    }
    if (m_hostOut) {
        return protocol::RefusalReason::HostOut;
    }
    const bool unconfigured = m_revision == framework::LogOffset{};
    if (unconfigured || !m_current) {
        return protocol::RefusalReason::NotReady;
    }
    return protocol::RefusalReason::None;
}

void AdmissionGate::setView(const configuration::ConfigurationView &view)
{
    if (view.revision < m_revision) {
        return;
    }
    m_revision = view.revision;
    m_zoneOut = view.zonesOutOfService.contains(m_zone);
    m_hostOut = view.hostsOutOfService.contains(m_host);
}

void AdmissionGate::setLeaving(bool leaving)
{
    m_leaving = leaving;
}

void AdmissionGate::setConfigurationCurrent(bool current)
{
    m_current = current;
}

void AdmissionGate::startDrain()
{
    m_draining = true;
}

} // namespace lavendertally::membership
