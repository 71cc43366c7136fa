#include "peers/internal/daemonranking.h"

#include <algorithm>
#include <utility>

namespace lavendertally::peers {

std::vector<DaemonAddress> rankByCapacity(std::vector<DaemonRegistration> registrations)
{
    std::sort(registrations.begin(), registrations.end(),
              [](const DaemonRegistration &one, const DaemonRegistration &other) {
                  return one.capacity != other.capacity ? one.capacity > other.capacity
                                                        : one.joined < other.joined;
              });
    std::vector<DaemonAddress> ranking;
    ranking.reserve(registrations.size());
    for (DaemonRegistration &registration : registrations) {
        ranking.push_back(std::move(registration.address));
    }
    return ranking;
}

} // namespace lavendertally::peers
