#pragma once

#include "routing/ihostselector.h"
#include "routing/internal/workertable.h"

#include <memory>
#include <vector>

namespace lavendertally::framework {
class IRandom;
}

namespace lavendertally::routing {

/// Compares a few random backend servers of a stable subset by their expected load (Mitzenmacher,
/// "The power of two choices in randomized load balancing", 2001). The calls of other entries come
/// from reports that lose weight with age, so that no old report draws all entries to one place.
class LoadAwareSelector final : public IHostSelector
{
public:
    LoadAwareSelector(std::shared_ptr<WorkerTable> table, framework::IRandom &random);

    framework::Result<membership::HostEntry> selectHost(const RoutingQuery &query,
                                                        framework::TimePoint now) override;
    void callStarted(const framework::HostId &host, framework::TimePoint now) override;
    void callEnded(const framework::HostId &host, framework::TimePoint now) override;
    void observeLoad(const framework::HostId &host, const protocol::LoadReport &load,
                     framework::TimePoint now) override;
    void observeFailure(const framework::HostId &host, framework::TimePoint now) override;

private:
    using Worker = WorkerTable::Worker;
    using Workers = std::vector<const Worker *>;

    /// Workers that may be called, the ones to prefer first.
    struct Candidates
    {
        Workers open;
        Workers coldWithoutRoom;
        Workers ejected;
    };

    Candidates candidates(const RoutingQuery &query, framework::TimePoint now);
    double usualForeign(const Workers &workers, framework::TimePoint now) const;
    const Worker *leastLoaded(const Workers &workers, const RoutingQuery &query,
                              framework::TimePoint now);
    const Worker *byAffinity(const Workers &workers, const RoutingQuery &query,
                             framework::TimePoint now) const;

    std::shared_ptr<WorkerTable> m_table;
    framework::IRandom &m_random;
};

} // namespace lavendertally::routing
