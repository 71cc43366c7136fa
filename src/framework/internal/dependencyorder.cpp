#include "framework/dependencyorder.h"

#include <algorithm>

namespace lavendertally::framework {

std::vector<std::size_t> dependencyOrder(const std::vector<std::vector<std::size_t>> &predecessors)
{
    std::vector<std::size_t> order;
    std::vector<bool> isPlaced(predecessors.size(), false);
    const auto isReady = [&](std::size_t position) {
        return !isPlaced[position]
            && std::all_of(
                predecessors[position].begin(), predecessors[position].end(),
                [&](std::size_t other) { return other >= predecessors.size() || isPlaced[other]; });
    };
    for (std::size_t position = 0; position < predecessors.size();) {
        if (!isReady(position)) {
            ++position;
            continue;
        }
        isPlaced[position] = true;
        order.push_back(position);
        // A lower position may have waited for this one.
        position = 0;
    }
    return order;
}

std::vector<std::size_t>
findDependencyCycle(const std::vector<std::vector<std::size_t>> &predecessors)
{
    std::vector<bool> isPlaced(predecessors.size(), false);
    for (const std::size_t position : dependencyOrder(predecessors)) {
        isPlaced[position] = true;
    }
    const auto isLeft = [&](std::size_t position) {
        return position < predecessors.size() && !isPlaced[position];
    };
    const auto first = std::find(isPlaced.begin(), isPlaced.end(), false);
    if (first == isPlaced.end()) {
        return {};
    }
    // Each position that is left waits for another such one, so the way back ends in a cycle.
    std::vector<std::size_t> way = {static_cast<std::size_t>(first - isPlaced.begin())};
    while (true) {
        const std::vector<std::size_t> &before = predecessors[way.back()];
        const std::size_t next = *std::find_if(before.begin(), before.end(), isLeft);
        const auto met = std::find(way.begin(), way.end(), next);
        if (met != way.end()) {
            std::vector<std::size_t> cycle(met, way.end());
            std::rotate(cycle.begin(), std::min_element(cycle.begin(), cycle.end()), cycle.end());
            return cycle;
        }
        way.push_back(next);
    }
}

} // namespace lavendertally::framework
