#pragma once

#include "routing/ihostselector.h"
#include "routing/internal/backendhosttable.h"

#include <memory>
#include <vector>

namespace lavendertally::framework {
class IRandom;
}

namespace lavendertally::routing {

/// Compares a few random backend hosts of a stable subset by their estimated load (Mitzenmacher,
/// "The power of two choices in randomized load balancing", 2001). The calls of other entries are
/// known from load reports whose weight falls with age, so that a stale report does not make all
/// entries call the same host.
class LoadAwareSelector final : public IHostSelector
{
public:
    LoadAwareSelector(std::shared_ptr<BackendHostTable> table, framework::IRandom &random);

    framework::Result<membership::HostEntry> selectHost(const RoutingQuery &query,
                                                        framework::TimePoint now) override;
    void callStarted(const framework::HostId &host, framework::TimePoint now) override;
    void callEnded(const framework::HostId &host, framework::TimePoint now) override;
    void observeLoad(const framework::HostId &host, const protocol::LoadReport &load,
                     framework::TimePoint now) override;
    void observeFailure(const framework::HostId &host, framework::TimePoint now) override;

private:
    using BackendHost = BackendHostTable::BackendHost;
    using BackendHosts = std::vector<const BackendHost *>;

    /// Hosts that may be called, the preferred group first.
    struct Candidates
    {
        BackendHosts available;
        BackendHosts coldAndFull;
        BackendHosts ejected;
    };

    Candidates candidates(const RoutingQuery &query, framework::TimePoint now);
    double averageExternalUtilisation(const BackendHosts &backends, framework::TimePoint now) const;
    const BackendHost *leastLoaded(const BackendHosts &backends, const RoutingQuery &query,
                                   framework::TimePoint now);
    const BackendHost *byAffinity(const BackendHosts &backends, const RoutingQuery &query,
                                  framework::TimePoint now) const;

    std::shared_ptr<BackendHostTable> m_table;
    framework::IRandom &m_random;
};

} // namespace lavendertally::routing
