#pragma once

#include "routing/ihostselector.h"

namespace lavendertally::framework {
class IRandom;
}

namespace lavendertally::membership {
class IMembership;
}

namespace lavendertally::routing {

/// Draws uniformly from all admitting hosts; the baseline for comparisons with other selectors.
class RandomSelector final : public IHostSelector
{
public:
    RandomSelector(const membership::IMembership &membership, framework::IRandom &random);

    framework::Result<membership::HostEntry> selectHost(const RoutingQuery &query,
                                                        framework::TimePoint now) override;
    void callStarted(const framework::HostId &host, framework::TimePoint now) override;
    void callEnded(const framework::HostId &host, framework::TimePoint now) override;
    void observeLoad(const framework::HostId &host, const protocol::LoadReport &load,
                     framework::TimePoint now) override;
    void observeFailure(const framework::HostId &host, framework::TimePoint now) override;

private:
    const membership::IMembership &m_membership;
    framework::IRandom &m_random;
};

} // namespace lavendertally::routing
