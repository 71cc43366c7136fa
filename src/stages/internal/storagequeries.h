#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "framework/types/units.h"
#include "membership/types/backendserverentry.h"
#include "membership/types/membershipgeneration.h"

#include <map>
#include <set>
#include <vector>

namespace lavendertally::membership {
class IBackendServers;
}

namespace lavendertally::stages {

class ResultTracker;
class StageEstimator;

/// Decides which backend servers are asked for their free result storage, and counts what they hold
/// without this coordinator's knowledge. Answers the load after a coordinator was killed: its
/// results fill the servers for some seconds, and calls of a new coordinator would find no room.
class StorageQueries
{
public:
    /// All references must outlive this object.
    StorageQueries(const membership::IBackendServers &servers, const StageEstimator &estimator,
                   ResultTracker &resultTracker);

    /// \return backend servers of the service that have not been asked yet; each is returned once
    std::vector<membership::BackendServerEntry> newServers(const framework::ServiceId &service);

    /// \return backend servers to be asked again, because they held unknown results that have since
    /// expired in part
    std::vector<membership::BackendServerEntry> due(framework::TimePoint now);

    /// Counts the storage that is in use at \p server and unknown.
    void reported(const framework::BackendServerId &server, framework::Bytes free,
                  framework::TimePoint now);

private:
    struct Repetition
    {
        framework::TimePoint at;
        /// When the last result from before the first query has expired.
        framework::TimePoint end;
    };

    const membership::IBackendServers &m_servers;
    const StageEstimator &m_estimator;
    ResultTracker &m_resultTracker;
    membership::MembershipGeneration m_generation;
    /// Services of which all backend servers of m_generation have been asked.
    std::set<framework::ServiceId> m_askedServices;
    std::set<framework::BackendServerId> m_asked;
    std::map<framework::BackendServerId, Repetition> m_repetitions;
};

} // namespace lavendertally::stages
