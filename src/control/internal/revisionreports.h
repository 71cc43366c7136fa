#pragma once

#include "control/irevisionreports.h"
#include "control/types/controlidentity.h"
#include "framework/types/timepoint.h"

#include <map>

namespace lavendertally::configuration {
class IConfigurationStore;
}

namespace lavendertally::framework {
class IClock;
}

namespace lavendertally::membership {
class IMembershipTracker;
}

namespace lavendertally::control {

/// Keeps the last reported revision of each daemon.
class RevisionReports final : public IRevisionReports
{
public:
    RevisionReports(ControlIdentity identity, const configuration::IConfigurationStore &store,
                    const membership::IMembershipTracker &membership,
                    const framework::IClock &clock);

    std::vector<RevisionReport> reports() const override;

    /// Records the revision that \p daemon reported. Reports that are too old are dropped.
    void note(const framework::DaemonId &daemon, framework::LogOffset revision);

private:
    struct LastSeen
    {
        framework::LogOffset revision;
        framework::TimePoint at;
    };

    RevisionReport report(const framework::DaemonId &daemon, const LastSeen &seen) const;
    void dropExpired();

    ControlIdentity m_identity;
    const configuration::IConfigurationStore &m_store;
    const membership::IMembershipTracker &m_membership;
    const framework::IClock &m_clock;
    framework::TimePoint m_nextCleanup;
    std::map<framework::DaemonId, LastSeen> m_lastSeen;
};

} // namespace lavendertally::control
