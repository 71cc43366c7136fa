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

/// Drives one selector with random calls, answers, failures and membership changes.
class Schedule
{
public:
    explicit Schedule(std::uint64_t seed)
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
            choose();
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
            m_membership.setAdmittingUnnoticed(hostName(host), false);
        }
    }
    void choose()
    {
        RoutingQuery query = makeQuery(Service, Zone);
        query.prefixHash = m_random->below(3);
        for (std::uint64_t host = 0; host < HostCount; ++host) {
            if (m_random->below(3) == 0) {
                query.excluded.insert(hostName(host));
            }
        }
        const auto chosen = m_routing.selector->selectHost(query, m_now);
        bool possible = false;
        for (std::uint64_t host = 0; host < HostCount; ++host) {
            const bool allowed = m_admitting[host] && !query.excluded.contains(hostName(host));
            possible = possible || allowed;
            if (chosen && chosen->id == hostName(host)) {
                ASSERT_TRUE(allowed) << chosen->id;
            }
        }
        ASSERT_EQ(possible, static_cast<bool>(chosen));
        if (chosen) {
            m_routing.selector->callStarted(chosen->id, m_now);
        }
    }

    std::unique_ptr<framework::IRandom> m_random;
    std::vector<bool> m_admitting;
    FakeMembership m_membership;
    Routing m_routing;
    TimePoint m_now{100000};
};

/// Always takes the host with the lowest last report.
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

/// Several entries that learn the load of all workers only from reports one second old.
class LaggingEntries
{
public:
    static constexpr int EntryCount = 5;
    static constexpr int WorkerCount = 10;

    LaggingEntries()
    {
        for (int worker = 0; worker < WorkerCount; ++worker) {
            m_membership.addBackendHost(Service, hostName(worker).value(), "z0");
        }
    }
    const membership::IMembership &membership() const { return m_membership; }

    /// \return mean over time of the highest load, as a part of the mean load
    double run(std::vector<IHostSelector *> entries, framework::IRandom &random)
    {
        constexpr int Steps = 20000;
        constexpr std::uint32_t Limit = 20;
        const Milliseconds lag(1000);
        struct Call
        {
            TimePoint end;
            int entry;
            int worker;
        };
        std::vector<Call> calls;
        std::vector<std::uint32_t> running(WorkerCount, 0);
        std::deque<std::vector<std::uint32_t>> past;
        double ratios = 0.0;
        int samples = 0;
        for (int step = 0; step < Steps; ++step) {
            const TimePoint now(100000 + step);
            std::erase_if(calls, [&](const Call &call) {
                if (call.end > now) {
                    return false;
                }
                --running[call.worker];
                entries[call.entry]->callEnded(hostName(call.worker), now);
                return true;
            });
            past.push_back(running);
            if (past.size() > static_cast<std::size_t>(lag.value())) {
                past.pop_front();
            }
            const int entry = static_cast<int>(random.below(EntryCount));
            if (step % 100 == 0) {
                for (int worker = 0; worker < WorkerCount; ++worker) {
                    const std::uint32_t old = past.front()[worker];
                    entries[step / 100 % EntryCount]->observeLoad(hostName(worker),
                                                                  makeLoad(old, Limit), now);
                }
            }
            const auto host = entries[entry]->selectHost(makeQuery(Service, Zone), now);
            const int worker = std::stoi(host->id.value().substr(1));
            entries[entry]->callStarted(host->id, now);
            ++running[worker];
            const auto length = static_cast<std::int64_t>(50 + random.below(100));
            calls.push_back({now + Milliseconds(length), entry, worker});
            if (step > 2000) {
                const double total = std::accumulate(running.begin(), running.end(), 0.0);
                ratios += *std::max_element(running.begin(), running.end()) * WorkerCount / total;
                ++samples;
            }
        }
        return ratios / samples;
    }

private:
    FakeMembership m_membership;
};

} // namespace

TEST(SelectorSchedule, NeverChoosesAHostThatIsExcludedOrNotAdmitting)
{
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Schedule schedule(seed);
        for (int step = 0; step < 200; ++step) {
            schedule.step();
            ASSERT_FALSE(testing::Test::HasFatalFailure());
        }
    }
}

TEST(SelectorSchedule, ReportsThatLagOneSecondDoNotDrawAllEntriesToOneWorker)
{
    const auto random = framework::FrameworkModule::makeRandom(7);
    LaggingEntries entries;
    std::vector<Routing> routings;
    std::vector<std::unique_ptr<IHostSelector>> naive;
    std::vector<IHostSelector *> selectors;
    std::vector<IHostSelector *> naiveSelectors;
    for (int entry = 0; entry < LaggingEntries::EntryCount; ++entry) {
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
