#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "framework/types/units.h"
#include "stages/internal/stageserverstate.h"

#include <unordered_map>
#include <vector>

namespace lavendertally::stages {

/// Knows which results lie at which backend server, and so how much room each has left.
class ResultLedger
{
public:
    StageServerState &server(const framework::BackendServerId &id) { return m_servers[id]; }

    void add(const framework::StageResultId &result, const framework::BackendServerId &server,
             framework::Bytes size, framework::TimePoint expires);
    void remove(const framework::StageResultId &result);
    /// Forgets results that their backend servers have dropped by now.
    void expire(framework::TimePoint now);

private:
    struct Held
    {
        framework::BackendServerId server;
        framework::Bytes size;
        framework::TimePoint expires;
    };

    std::unordered_map<framework::BackendServerId, StageServerState> m_servers;
    std::unordered_map<framework::StageResultId, Held> m_results;
};

} // namespace lavendertally::stages
