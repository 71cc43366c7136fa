#include "framework/frameworkmodule.h"
#include "framework/irandom.h"
#include "routing/routingmodule.h"
#include "routing/testing/fakemembership.h"
#include "routing/testing/routingvalues.h"
#include "routing/types/routing.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <numeric>
#include <string>
#include <vector>

using namespace lavendertally;
using namespace lavendertally::routing;
using framework::HostId;
using framework::Milliseconds;
using framework::TimePoint;

namespace {

const framework::ServiceId Service("generator");
const framework::AvailabilityZoneId Zone("z0");

HostId hostName(std::uint64_t index)
{
    return HostId("w" + std::to_string(index));
}

/// Drives one selector with random calls, load reports, failures and membership changes.
class RandomSchedule
{
public:
    explicit RandomSchedule(std::uint64_t seed)
        : m_random(framework::FrameworkModule::makeRandom(seed)), m_admitting(HostCount, true)
    {
        for (std::uint64_t host = 0; host < HostCount; ++host) {
            m_membership.addBackendHost(Service, hostName(host).value(),
                                        "z" + std::to_string(host % 4));
        }
        m_routing = RoutingModule::makeRouting(m_membership, *m_random, HostId("e0"));
    }

    void step()
    {
        m_now = m_now + Milliseconds(static_cast<std::int64_t>(m_random->below(200)));
        const HostId host = hostName(m_random->below(HostCount));
        switch (m_random->below(6)) {
        case 0:
            changeMembership();
            break;
        case 1:
            m_routing.selector->observeFailure(host, m_now);
            break;
        case 2:
            m_routing.selector->callEnded(host, m_now);
            m_routing.selector->observeLoad(host, randomLoad(), m_now);
            break;
        default:
            selectHost();
        }
    }

private:
    static constexpr std::uint64_t HostCount = 10;

    protocol::LoadReport randomLoad()
    {
        const auto running = static_cast<std::uint32_t>(m_random->below(9));
        const auto limit = static_cast<std::uint32_t>(m_random->below(9));
        return makeLoad(running, limit, m_random->below(3) == 0);
    }
    void changeMembership()
    {
        const std::uint64_t host = m_random->below(HostCount);
        m_admitting[host] = !m_admitting[host];
        if (m_admitting[host] || m_random->below(2) == 0) {
            m_membership.setAdmitting(hostName(host), m_admitting[host]);
        } else {
            m_membership.setAdmittingWithoutGenerationChange(hostName(host), false);
        }
    }
    void selectHost()
    {
        RoutingQuery query = makeQuery(Service, Zone);
        query.prefixHash = m_random->below(3);
        for (std::uint64_t host = 0; host < HostCount; ++host) {
            if (m_random->below(3) == 0) {
                query.excluded.insert(hostName(host));
            }
        }
        const auto selected = m_routing.selector->selectHost(query, m_now);
        bool anyAllowed = false;
        for (std::uint64_t host = 0; host < HostCount; ++host) {
            const bool allowed = m_admitting[host] && !query.excluded.contains(hostName(host));
            anyAllowed = anyAllowed || allowed;
            if (selected && selected->id == hostName(host)) {
                ASSERT_TRUE(allowed) << selected->id;
            }
        }
        ASSERT_EQ(anyAllowed, static_cast<bool>(selected));
        if (selected) {
            m_routing.selector->callStarted(selected->id, m_now);
        }
    }

    std::unique_ptr<framework::IRandom> m_random;
    std::vector<bool> m_admitting;
    FakeMembership m_membership;
    Routing m_routing;
    TimePoint m_now{100000};
};

/// Baseline that always selects the host with the lowest last reported load.
class LowestReportSelector final : public IHostSelector
{
public:
    explicit LowestReportSelector(const membership::IMembership &membership)
        : m_membership(membership)
    { }
    framework::Result<membership::HostEntry> selectHost(const RoutingQuery &query,
                                                        TimePoint /*now*/) override
    {
        const auto hosts = m_membership.admittingHosts(query.service);
        return *std::min_element(hosts.begin(), hosts.end(), [this](const auto &a, const auto &b) {
            return m_running[a.id] < m_running[b.id];
        });
    }
    void callStarted(const HostId & /*host*/, TimePoint /*now*/) override { }
    void callEnded(const HostId & /*host*/, TimePoint /*now*/) override { }
    void observeLoad(const HostId &host, const protocol::LoadReport &load,
                     TimePoint /*now*/) override
    {
        m_running[host] = load.running;
    }
    void observeFailure(const HostId & /*host*/, TimePoint /*now*/) override { }

private:
    const membership::IMembership &m_membership;
    std::map<HostId, std::uint32_t> m_running;
};

/// Several entries that learn the load of all backend hosts only from reports that are one second
/// old.
class EntriesWithStaleReports
{
public:
    static constexpr int EntryCount = 5;
    static constexpr int BackendCount = 10;

    EntriesWithStaleReports()
    {
        for (int backend = 0; backend < BackendCount; ++backend) {
            m_membership.addBackendHost(Service, hostName(backend).value(), "z0");
        }
    }
    const membership::IMembership &membership() const { return m_membership; }

    /// \return average over time of the highest load of a host, as a multiple of the mean load
    double run(std::vector<IHostSelector *> entries, framework::IRandom &random)
    {
        constexpr int Steps = 20000;
        constexpr std::uint32_t Limit = 20;
        const Milliseconds lag(1000);
        struct Call
        {
            TimePoint end;
            int entry;
            int backend;
        };
        std::vector<Call> calls;
        std::vector<std::uint32_t> running(BackendCount, 0);
        std::deque<std::vector<std::uint32_t>> past;
        double ratios = 0.0;
        int samples = 0;
        for (int step = 0; step < Steps; ++step) {
            const TimePoint now(100000 + step);
            std::erase_if(calls, [&](const Call &call) {
                if (call.end > now) {
                    return false;
                }
                --running[call.backend];
                entries[call.entry]->callEnded(hostName(call.backend), now);
                return true;
            });
            past.push_back(running);
            if (past.size() > static_cast<std::size_t>(lag.value())) {
                past.pop_front();
            }
            const int entry = static_cast<int>(random.below(EntryCount));
            if (step % 100 == 0) {
                for (int backend = 0; backend < BackendCount; ++backend) {
                    const std::uint32_t old = past.front()[backend];
                    entries[step / 100 % EntryCount]->observeLoad(hostName(backend),
                                                                  makeLoad(old, Limit), now);
                }
            }
            const auto host = entries[entry]->selectHost(makeQuery(Service, Zone), now);
            const int backend = std::stoi(host->id.value().substr(1));
            entries[entry]->callStarted(host->id, now);
            ++running[backend];
            const auto length = static_cast<std::int64_t>(50 + random.below(100));
            calls.push_back({now + Milliseconds(length), entry, backend});
            if (step > 2000) {
                const double total = std::accumulate(running.begin(), running.end(), 0.0);
                ratios += *std::max_element(running.begin(), running.end()) * BackendCount / total;
                ++samples;
            }
        }
        return ratios / samples;
    }

private:
    FakeMembership m_membership;
};

} // namespace

TEST(SelectorSchedule, RandomSchedule_NeverSelectsExcludedOrNonAdmittingHost)
{
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        RandomSchedule schedule(seed);
        for (int step = 0; step < 200; ++step) {
            schedule.step();
            ASSERT_FALSE(testing::Test::HasFatalFailure());
        }
    }
}

TEST(SelectorSchedule, ReportsOneSecondOld_EntriesDoNotAllCallOneHost)
{
    const auto random = framework::FrameworkModule::makeRandom(7);
    EntriesWithStaleReports entries;
    std::vector<Routing> routings;
    std::vector<std::unique_ptr<IHostSelector>> naive;
    std::vector<IHostSelector *> selectors;
    std::vector<IHostSelector *> naiveSelectors;
    for (int entry = 0; entry < EntriesWithStaleReports::EntryCount; ++entry) {
        const HostId self("e" + std::to_string(entry));
        routings.push_back(RoutingModule::makeRouting(entries.membership(), *random, self));
        selectors.push_back(routings.back().selector.get());
        naive.push_back(std::make_unique<LowestReportSelector>(entries.membership()));
        naiveSelectors.push_back(naive.back().get());
    }
    const double ratio = entries.run(selectors, *random);
    const double naiveRatio = entries.run(naiveSelectors, *random);
    EXPECT_LT(ratio, 1.5);
    EXPECT_GT(naiveRatio, 2.0 * ratio);
}
