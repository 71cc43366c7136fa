#include "framework/frameworkmodule.h"
#include "framework/irandom.h"
#include "routing/routingmodule.h"
#include "routing/testing/fakemembership.h"
#include "routing/types/routing.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <map>
#include <string>

namespace lavendertally::bench {
namespace {

using Clock = std::chrono::steady_clock;

constexpr framework::TimePoint Now{1000000};

/// Numbers of hosts of one measurement.
struct FleetSize
{
    int entries = 0;
    int workers = 0;
    int services = 0;
    int zones = 0;
};

double microsecondsSince(Clock::time_point start)
{
    return std::chrono::duration<double, std::micro>(Clock::now() - start).count();
}

framework::ServiceId serviceName(int index)
{
    return framework::ServiceId("s" + std::to_string(index));
}

std::string zoneName(int index)
{
    return "z" + std::to_string(index);
}

/// Sums up the subsets of all entries of one fleet.
class FleetMeasurement
{
public:
    explicit FleetMeasurement(const FleetSize &size)
        : m_size(size), m_random(framework::FrameworkModule::makeRandom(1))
    {
        for (int worker = 0; worker < size.workers; ++worker) {
            m_membership.addBackendHost(serviceName(worker % size.services),
                                        "w" + std::to_string(worker),
                                        zoneName(worker / size.services % size.zones));
        }
        for (int entry = 0; entry < size.entries; ++entry) {
            m_membership.addEntry("e" + std::to_string(entry), zoneName(entry % size.zones));
        }
    }

    void run()
    {
        for (int entry = 0; entry < m_size.entries; ++entry) {
            measureEntry(entry);
        }
    }

    void print() const
    {
        double sum = 0.0;
        double squares = 0.0;
        int lowest = m_size.entries;
        for (const auto &[host, count] : m_coverage) {
            lowest = std::min(lowest, count);
            sum += count;
            squares += static_cast<double>(count) * count;
        }
        const double mean = sum / m_size.workers;
        const double deviation = std::sqrt(squares / m_size.workers - mean * mean);
        const bool allCovered = m_coverage.size() == static_cast<std::size_t>(m_size.workers);
        std::cout << std::fixed << std::setprecision(1) << std::setw(7) << m_size.entries
                  << std::setw(9) << m_size.workers << std::setw(9) << m_size.services
                  << std::setw(12) << sum / m_size.entries << std::setw(8) << m_mostConnections
                  << std::setw(12) << (allCovered ? lowest : 0) << std::setw(8) << mean
                  << std::setw(10) << deviation << std::setw(12)
                  << m_deriveMicroseconds / m_size.entries << std::setw(11) << std::setprecision(2)
                  << m_selectMicroseconds / m_size.entries << '\n';
    }

private:
    void measureEntry(int entry)
    {
        constexpr int Selections = 200;
        routing::HostSelectorSettings settings;
        settings.maxProbes = static_cast<std::uint32_t>(m_size.workers);
        routing::Routing routing = routing::RoutingModule::makeRouting(
            m_membership, *m_random, framework::HostId("e" + std::to_string(entry)), settings);
        routing::RoutingQuery query;
        query.localZone = framework::AvailabilityZoneId(zoneName(entry % m_size.zones));
        const auto deriveStart = Clock::now();
        for (int service = 0; service < m_size.services; ++service) {
            query.service = serviceName(service);
            (void)routing.selector->selectHost(query, Now);
        }
        m_deriveMicroseconds += microsecondsSince(deriveStart);
        const auto selectStart = Clock::now();
        for (int selection = 0; selection < Selections; ++selection) {
            (void)routing.selector->selectHost(query, Now);
        }
        m_selectMicroseconds += microsecondsSince(selectStart) / Selections;
        const auto subset = routing.probes->hostsToProbe(Now);
        m_mostConnections = std::max(m_mostConnections, subset.size());
        for (const auto &host : subset) {
            ++m_coverage[host.id];
        }
    }

    FleetSize m_size;
    std::unique_ptr<framework::IRandom> m_random;
    routing::FakeMembership m_membership;
    std::map<framework::HostId, int> m_coverage;
    std::size_t m_mostConnections = 0;
    double m_deriveMicroseconds = 0.0;
    double m_selectMicroseconds = 0.0;
};

void measureAll()
{
    std::cout << "Subsets of backend servers. Connections are for each entry, coverage is the "
                 "number of entries that have a backend server.\n"
              << "entries  workers services connections    most min.coverage  mean  std.dev. "
                 "derive (us) select (us)\n";
    const FleetSize sizes[] = {{3, 35, 5, 4},
                               {20, 363, 17, 4},
                               {80, 1450, 17, 16},
                               {320, 5800, 17, 16},
                               {320, 5800, 1, 16}};
    for (const FleetSize &size : sizes) {
        FleetMeasurement measurement(size);
        measurement.run();
        measurement.print();
    }
}

} // namespace
} // namespace lavendertally::bench

int main()
{
    lavendertally::bench::measureAll();
    return 0;
}
