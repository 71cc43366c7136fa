#include "routing/internal/backendhostsubset.h"

#include "routing/internal/rendezvous.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace lavendertally::routing {

BackendHostSubset::BackendHostSubset(const std::vector<membership::HostEntry> &entries,
                                     const framework::HostId &self,
                                     framework::AvailabilityZoneId selfZone,
                                     const HostSelectorSettings &settings)
    : m_selfHash(hashName(self.value())), m_selfZone(std::move(selfZone)), m_settings(settings)
{
    m_entries.reserve(entries.size());
    for (const membership::HostEntry &entry : entries) {
        m_entries.push_back({.hash = hashName(entry.id.value()), .zone = entry.zone});
    }
}

std::vector<membership::HostEntry>
BackendHostSubset::choose(const std::vector<membership::HostEntry> &backends) const
{
    std::vector<std::uint64_t> hashes;
    std::vector<bool> chosen;
    hashes.reserve(backends.size());
    chosen.reserve(backends.size());
    for (const membership::HostEntry &backend : backends) {
        hashes.push_back(hashName(backend.id.value()));
        chosen.push_back(isChosenBy(backend, hashes.back()));
    }
    markOwnChoices(backends, hashes, true, chosen);
    markOwnChoices(backends, hashes, false, chosen);

    std::vector<membership::HostEntry> subset;
    for (std::size_t index = 0; index < backends.size(); ++index) {
        if (chosen[index]) {
            subset.push_back(backends[index]);
        }
    }
    return subset;
}

bool BackendHostSubset::isChosenBy(const membership::HostEntry &backend,
                                   std::uint64_t backendHash) const
{
    const bool local = backend.zone == m_selfZone;
    const std::uint32_t wanted =
        local ? m_settings.localEntriesPerBackend : m_settings.remoteEntriesPerBackend;
    const std::uint64_t own = rendezvousScore(backendHash, m_selfHash);
    std::uint32_t better = 0;
    for (const Entry &entry : m_entries) {
        if ((entry.zone == backend.zone) != local) {
            continue;
        }
        if (rendezvousScore(backendHash, entry.hash) > own && ++better >= wanted) {
            return false;
        }
    }
    return true;
}

void BackendHostSubset::markOwnChoices(const std::vector<membership::HostEntry> &backends,
                                       const std::vector<std::uint64_t> &hashes, bool local,
                                       std::vector<bool> &chosen) const
{
    std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
    for (std::size_t index = 0; index < backends.size(); ++index) {
        if ((backends[index].zone == m_selfZone) == local) {
            ranked.emplace_back(rendezvousScore(m_selfHash, hashes[index]), index);
        }
    }
    const std::uint32_t wanted =
        local ? m_settings.localBackendsPerEntry : m_settings.remoteBackendsPerEntry;
    const std::size_t count = std::min<std::size_t>(ranked.size(), wanted);
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(), std::greater<>());
    for (std::size_t rank = 0; rank < count; ++rank) {
        chosen[ranked[rank].second] = true;
    }
}

} // namespace lavendertally::routing
