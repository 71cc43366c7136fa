#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "framework/types/units.h"
#include "protocol/types/stageholding.h"
#include "stages/internal/stageserverstate.h"

#include <map>
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
    /// Room that is taken by results that nobody here knows.
    void addUnknown(const framework::BackendServerId &server, framework::Bytes size,
                    framework::TimePoint expires);
    void remove(const framework::StageResultId &result);
    /// \return room taken at the backend server that keeps \p result; zero if it is not known
    framework::Bytes heldBeside(const framework::StageResultId &result) const;
    /// Replaces what another coordinator has at backend servers.
    void setForeign(const framework::DaemonId &daemon,
                    const std::vector<protocol::StageHolding> &holdings,
                    framework::TimePoint expires);
    /// \return what this coordinator has at backend servers
    std::vector<protocol::StageHolding> holdings() const;
    /// Forgets results that their backend servers have dropped by now.
    void expire(framework::TimePoint now);

private:
    struct Held
    {
        framework::BackendServerId server;
        framework::Bytes size;
        framework::TimePoint expires;
    };

    struct Foreign
    {
        std::vector<protocol::StageHolding> holdings;
        framework::TimePoint expires;
    };

    void removeForeign(const Foreign &foreign);

    std::unordered_map<framework::BackendServerId, StageServerState> m_servers;
    std::unordered_map<framework::StageResultId, Held> m_results;
    std::vector<Held> m_unknown;
    std::map<framework::DaemonId, Foreign> m_foreign;
};

} // namespace lavendertally::stages
