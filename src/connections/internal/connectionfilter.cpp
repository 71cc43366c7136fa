#include "connections/internal/connectionfilter.h"

#include "connections/internal/connectionshares.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lavendertally::connections {

void ConnectionFilter::restrict(const routing::ServerQuery & /*query*/,
                                std::vector<const membership::BackendServerEntry *> &candidates,
                                framework::TimePoint /*now*/)
{
    std::vector<const membership::BackendServerEntry *> free;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(free),
                 [this](const auto *server) { return m_shares.canTake(*server); });
    if (!free.empty()) {
        candidates = std::move(free);
        return;
    }
    if (candidates.empty()) {
        return;
    }
    const framework::Endpoint first = candidates.front()->endpoint;
    std::erase_if(candidates,
                  [this](const auto *server) { return !m_shares.canWait(server->endpoint); });
    if (candidates.empty()) {
        m_shares.reportRefusal(first);
    }
}

void ConnectionFilter::callStarted(const membership::BackendServerEntry & /*server*/,
                                   framework::TimePoint /*now*/)
{
    // The HTTP client reports each connection that it takes.
}

} // namespace lavendertally::connections
