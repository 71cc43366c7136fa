#pragma once

#include "framework/types/timepoint.h"
#include "protocol/types/refusalreason.h"

namespace lavendertally::configuration {
struct ConfigurationView;
}

namespace lavendertally::membership {

/// Decides in a host process whether its backend server may receive new work at all.
class IAdmissionGate
{
public:
    virtual ~IAdmissionGate() = default;

    /// \return RefusalReason::None when new work may be admitted, else the reason to refuse it
    virtual protocol::RefusalReason refusal() const = 0;

    /// Applies the current configuration. A view older than the last one is ignored.
    virtual void setView(const configuration::ConfigurationView &view) = 0;

    /// \param leaving whether the host list says that this host is leaving
    virtual void setLeaving(bool leaving) = 0;

    /// \param current whether this process can trust its configuration; see control::IIsolation
    virtual void setConfigurationCurrent(bool current) = 0;

    /// Refuses all new work from now on, since the process is shutting down.
    virtual void startDrain() = 0;
};

} // namespace lavendertally::membership
