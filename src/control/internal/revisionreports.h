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

/// Keeps the last revision of each daemon that was heard.
class RevisionReports final : public IRevisionReports
{
public:
    RevisionReports(ControlIdentity identity, const configuration::IConfigurationStore &store,
                    const membership::IMembershipTracker &membership,
                    const framework::IClock &clock);

    std::vector<RevisionReport> reports() const override;

    /// Notes what a daemon said about itself. What is too old to report is dropped.
    void note(const framework::DaemonId &daemon, framework::LogOffset revision);

private:
    struct Heard
    {
        framework::LogOffset revision;
        framework::TimePoint at;
    };

    RevisionReport report(const framework::DaemonId &daemon, const Heard &heard) const;
    void dropOld();

    ControlIdentity m_identity;
    const configuration::IConfigurationStore &m_store;
    const membership::IMembershipTracker &m_membership;
    const framework::IClock &m_clock;
    framework::TimePoint m_nextDrop;
    std::map<framework::DaemonId, Heard> m_heard;
};

} // namespace lavendertally::control
