#pragma once

#include "routing/ihostselector.h"
#include "routing/types/routingerror.h"

#include <vector>

namespace lavendertally::pipeline {

/// Selector that returns the first host that is not excluded.
class FakeSelector final : public routing::IHostSelector
{
public:
    explicit FakeSelector(std::vector<membership::HostEntry> hosts) : m_hosts(std::move(hosts)) { }

    framework::Result<membership::HostEntry> selectHost(const routing::RoutingQuery &query,
                                                        framework::TimePoint /*now*/) override
    {
        for (const membership::HostEntry &host : m_hosts) {
            if (!query.excluded.contains(host.id)) {
                return host;
            }
        }
        return framework::leaf::new_error(routing::RoutingError::NoAdmittingBackend);
    }
    void callStarted(const framework::HostId & /*host*/, framework::TimePoint /*now*/) override
    {
        ++m_running;
    }
    void callEnded(const framework::HostId & /*host*/, framework::TimePoint /*now*/) override
    {
        --m_running;
    }
    void observeLoad(const framework::HostId & /*host*/, const protocol::LoadReport & /*load*/,
                     framework::TimePoint /*now*/) override
    { }
    void observeFailure(const framework::HostId & /*host*/, framework::TimePoint /*now*/) override
    {
        ++m_failures;
    }

    std::vector<membership::HostEntry> m_hosts;
    int m_running = 0;
    int m_failures = 0;
};

} // namespace lavendertally::pipeline
