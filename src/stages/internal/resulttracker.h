#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "framework/types/units.h"
#include "protocol/types/stageholding.h"
#include "stages/internal/stageserverstate.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lavendertally::stages {

/// Tracks which backend server stores which results, and so how much of its storage is in use.
class ResultTracker
{
public:
    /// \return state of a backend server, created on first use
    StageServerState &server(const framework::BackendServerId &id) { return m_servers[id]; }

    /// Adds a result; one that is already known is left as it is.
    void add(const framework::StageResultId &result, const framework::BackendServerId &server,
             framework::Bytes size, framework::TimePoint expires);
    /// Counts storage as used by results whose ids are unknown, such as those of a failed call.
    void addUntracked(const framework::BackendServerId &server, framework::Bytes size,
                      framework::TimePoint expires);
    /// Counts what is in use at a backend server beyond the results that are known. Replaces what
    /// an earlier report told. \param used storage in use according to the backend server \return
    /// storage that is in use and unknown; zero or less if there is none
    framework::Bytes setReported(const framework::BackendServerId &server, framework::Bytes used,
                                 framework::TimePoint expires);
    void remove(const framework::StageResultId &result);
    /// \return the backend server that stores \p result; nothing if it is unknown
    std::optional<framework::BackendServerId>
    holderOf(const framework::StageResultId &result) const;
    /// \return storage in use at the backend server that stores \p result; zero if it is unknown
    framework::Bytes usedStorageAtHolder(const framework::StageResultId &result) const;
    /// Replaces the calls and storage that another coordinator uses at backend servers.
    void setPeerHoldings(const framework::DaemonId &daemon,
                         const std::vector<protocol::StageHolding> &holdings,
                         framework::TimePoint expires);
    /// \return calls in flight and storage that this coordinator uses at each backend server
    std::vector<protocol::StageHolding> holdings() const;
    /// Removes results that their backend servers have deleted by now because their lifetime ended,
    /// and outdated holdings of other coordinators.
    void expire(framework::TimePoint now);

private:
    struct StoredResult
    {
        framework::BackendServerId server;
        framework::Bytes size;
        framework::TimePoint expires;
    };

    struct PeerHoldings
    {
        std::vector<protocol::StageHolding> holdings;
        framework::TimePoint expires;
    };

    void removePeerHoldings(const PeerHoldings &peerHoldings);

    std::unordered_map<framework::BackendServerId, StageServerState> m_servers;
    std::unordered_map<framework::StageResultId, StoredResult> m_results;
    std::vector<StoredResult> m_untracked;
    std::map<framework::BackendServerId, StoredResult> m_reported;
    std::map<framework::DaemonId, PeerHoldings> m_peerHoldings;
};

} // namespace lavendertally::stages
