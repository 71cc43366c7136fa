#include "routing/internal/workersubset.h"

#include "routing/internal/rendezvous.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace lavendertally::routing {

WorkerSubset::WorkerSubset(const std::vector<membership::HostEntry> &entries,
                           const framework::HostId &self, framework::AvailabilityZoneId selfZone,
                           const HostSelectorSettings &limits)
    : m_selfHash(hashName(self.value())), m_selfZone(std::move(selfZone)), m_limits(limits)
{
    m_entries.reserve(entries.size());
    for (const membership::HostEntry &entry : entries) {
        m_entries.push_back({.hash = hashName(entry.id.value()), .zone = entry.zone});
    }
}

std::vector<membership::HostEntry>
WorkerSubset::choose(const std::vector<membership::HostEntry> &workers) const
{
    std::vector<std::uint64_t> hashes;
    std::vector<bool> chosen;
    hashes.reserve(workers.size());
    chosen.reserve(workers.size());
    for (const membership::HostEntry &worker : workers) {
        hashes.push_back(hashName(worker.id.value()));
        chosen.push_back(isChosenBy(worker, hashes.back()));
    }
    markOwnChoices(workers, hashes, true, chosen);
    markOwnChoices(workers, hashes, false, chosen);

    std::vector<membership::HostEntry> subset;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        if (chosen[index]) {
            subset.push_back(workers[index]);
        }
    }
    return subset;
}

bool WorkerSubset::isChosenBy(const membership::HostEntry &worker, std::uint64_t workerHash) const
{
    const bool local = worker.zone == m_selfZone;
    const std::uint32_t places =
        local ? m_limits.localEntriesPerWorker : m_limits.remoteEntriesPerWorker;
    const std::uint64_t own = rendezvousScore(workerHash, m_selfHash);
    std::uint32_t better = 0;
    for (const Entry &entry : m_entries) {
        if ((entry.zone == worker.zone) != local) {
            continue;
        }
        if (rendezvousScore(workerHash, entry.hash) > own && ++better >= places) {
            return false;
        }
    }
    return true;
}

void WorkerSubset::markOwnChoices(const std::vector<membership::HostEntry> &workers,
                                  const std::vector<std::uint64_t> &hashes, bool local,
                                  std::vector<bool> &chosen) const
{
    std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        if ((workers[index].zone == m_selfZone) == local) {
            ranked.emplace_back(rendezvousScore(m_selfHash, hashes[index]), index);
        }
    }
    const std::uint32_t wanted =
        local ? m_limits.localWorkersPerEntry : m_limits.remoteWorkersPerEntry;
    const std::size_t count = std::min<std::size_t>(ranked.size(), wanted);
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(), std::greater<>());
    for (std::size_t rank = 0; rank < count; ++rank) {
        chosen[ranked[rank].second] = true;
    }
}

} // namespace lavendertally::routing
