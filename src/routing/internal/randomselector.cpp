#include "routing/internal/randomselector.h"

#include "framework/irandom.h"
#include "membership/imembership.h"
#include "routing/types/routingerror.h"

#include <utility>
#include <vector>

namespace lavendertally::routing {

RandomSelector::RandomSelector(const membership::IMembership &membership,
                               framework::IRandom &random)
    : m_membership(membership), m_random(random)
{ }

framework::Result<membership::HostEntry> RandomSelector::selectHost(const RoutingQuery &query,
                                                                    framework::TimePoint /*now*/)
{
    std::vector<membership::HostEntry> hosts = m_membership.admittingHosts(query.service);
    std::erase_if(hosts, [&query](const membership::HostEntry &host) {
        return query.excluded.contains(host.id);
    });
    if (hosts.empty()) {
        return framework::leaf::new_error(RoutingError::NoAdmittingBackend);
    }
    return std::move(hosts[m_random.below(hosts.size())]);
}

void RandomSelector::callStarted(const framework::HostId & /*host*/, framework::TimePoint /*now*/)
{ }

void RandomSelector::callEnded(const framework::HostId & /*host*/, framework::TimePoint /*now*/) { }

void RandomSelector::observeLoad(const framework::HostId & /*host*/,
                                 const protocol::LoadReport & /*load*/,
                                 framework::TimePoint /*now*/)
{ }

void RandomSelector::observeFailure(const framework::HostId & /*host*/,
                                    framework::TimePoint /*now*/)
{ }

} // namespace lavendertally::routing
