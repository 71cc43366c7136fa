#pragma once

#include "framework/types/ids.h"
#include "membership/iadmissiongate.h"

namespace lavendertally::membership {

/// Refuses work while its host is leaving, draining or out of service, its zone is out of service,
/// or its configuration is missing or not current.
class AdmissionGate final : public IAdmissionGate
{
public:
    AdmissionGate(framework::HostId host, framework::AvailabilityZoneId zone);

    protocol::RefusalReason refusal() const override;
    void setView(const configuration::ConfigurationView &view) override;
    void setLeaving(bool leaving) override;
    void setConfigurationCurrent(bool current) override;
    void startDrain() override;

private:
    framework::HostId m_host;
    framework::AvailabilityZoneId m_zone;
    framework::LogOffset m_revision;
    bool m_zoneOut = false;
    bool m_hostOut = false;
    bool m_leaving = false;
    bool m_draining = false;
    bool m_current = true;
};

} // namespace lavendertally::membership
