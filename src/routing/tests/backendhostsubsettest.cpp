#include "routing/internal/backendhostsubset.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace lavendertally;
using namespace lavendertally::routing;
using framework::AvailabilityZoneId;
using framework::HostId;

namespace {

std::vector<membership::HostEntry> hosts(const std::string &prefix, int count, int zones)
{
    std::vector<membership::HostEntry> result(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        result[index].id = HostId(prefix + std::to_string(index));
        result[index].zone = AvailabilityZoneId("z" + std::to_string(index % zones));
    }
    return result;
}

std::set<HostId> subsetOf(const std::vector<membership::HostEntry> &entries,
                          const membership::HostEntry &self,
                          const std::vector<membership::HostEntry> &backends)
{
    std::set<HostId> names;
    for (const auto &host : BackendHostSubset(entries, self.id, self.zone, {}).choose(backends)) {
        names.insert(host.id);
    }
    return names;
}

} // namespace

TEST(BackendHostSubsetTest, ManyHosts_EachIsInEnoughSubsetsAndEntriesKeepFewConnections)
{
    const auto entries = hosts("e", 64, 4);
    const auto backends = hosts("w", 1160, 4);
    std::map<HostId, int> coverage;
    std::size_t most = 0;
    for (const auto &entry : entries) {
        const auto subset = subsetOf(entries, entry, backends);
        most = std::max(most, subset.size());
        for (const HostId &host : subset) {
            ++coverage[host];
        }
    }
    ASSERT_EQ(coverage.size(), backends.size());
    for (const auto &[host, count] : coverage) {
        EXPECT_GE(count, 12) << host;
    }
    EXPECT_LT(most, backends.size() / 3);
}

TEST(BackendHostSubsetTest, SmallService_EachEntryHasBackendHosts)
{
    const auto entries = hosts("e", 320, 16);
    const auto backends = hosts("w", 8, 4);
    for (const auto &entry : entries) {
        EXPECT_GE(subsetOf(entries, entry, backends).size(), 6U);
    }
}

TEST(BackendHostSubsetTest, HostRemoved_AtMostOneOtherHostIsAdded)
{
    const auto entries = hosts("e", 64, 4);
    const auto backends = hosts("w", 600, 4);
    const auto before = subsetOf(entries, entries[0], backends);
    auto fewer = backends;
    std::erase_if(fewer, [&](const auto &host) { return host.id == *before.begin(); });
    const auto after = subsetOf(entries, entries[0], fewer);

    std::set<HostId> added;
    std::set_difference(after.begin(), after.end(), before.begin(), before.end(),
                        std::inserter(added, added.begin()));
    EXPECT_LE(added.size(), 1U);
    EXPECT_GE(after.size() + 1, before.size());
}
