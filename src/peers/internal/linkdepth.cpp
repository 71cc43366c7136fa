#include "peers/internal/linkdepth.h"

#include "peers/leadingdaemons.h"

namespace lavendertally::peers {

std::size_t linkDepth(const std::vector<LinkCandidate> &ranking, std::size_t maxReachable)
{
    std::size_t usable = 0;
    std::size_t reachable = 0;
    bool hasInformed = false;
    std::size_t depth = 0;
    for (const LinkCandidate &daemon : ranking) {
        const bool isEnough = usable >= LeadingDaemons && hasInformed;
        if (isEnough || reachable == maxReachable) {
            break;
        }
        usable += daemon.mayTakeJobs ? 1 : 0;
        reachable += daemon.isReachable ? 1 : 0;
        hasInformed = hasInformed || daemon.mayBeInformed;
        ++depth;
    }
    return depth;
}

} // namespace lavendertally::peers
