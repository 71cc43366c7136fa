#include "peers/daemonranking.h"

#include "framework/hash.h"

#include <algorithm>

namespace lavendertally::peers {

std::vector<framework::DaemonId> rankDaemons(const framework::DaemonId &self,
                                             const std::vector<DaemonAddress> &others)
{
    std::vector<framework::DaemonId> ranking = {self};
    for (const DaemonAddress &daemon : others) {
        if (daemon.daemon != self) {
            ranking.push_back(daemon.daemon);
        }
    }
    std::sort(ranking.begin(), ranking.end(), [](const auto &one, const auto &other) {
        return framework::stableHash(one.value()) > framework::stableHash(other.value());
    });
    return ranking;
}

bool isLeading(const std::vector<framework::DaemonId> &ranking, const framework::DaemonId &daemon)
{
    const auto count = static_cast<std::ptrdiff_t>(std::min(LeadingDaemons, ranking.size()));
    return std::find(ranking.begin(), ranking.begin() + count, daemon) != ranking.begin() + count;
}

} // namespace lavendertally::peers
