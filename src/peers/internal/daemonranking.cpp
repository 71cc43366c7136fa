#include "peers/internal/daemonranking.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lavendertally::peers {

std::vector<DaemonAddress> rankByCapacity(std::vector<DaemonRegistration> registrations)
{
    std::sort(registrations.begin(), registrations.end(),
              [](const DaemonRegistration &one, const DaemonRegistration &other) {
                  // Offsets may be given out twice when the store comes back from a copy.
                  return std::tie(other.capacity, one.joined, one.address.daemon)
                      < std::tie(one.capacity, other.joined, other.address.daemon);
              });
    std::vector<DaemonAddress> ranking;
    ranking.reserve(registrations.size());
    for (DaemonRegistration &registration : registrations) {
        ranking.push_back(std::move(registration.address));
    }
    return ranking;
}

} // namespace lavendertally::peers
