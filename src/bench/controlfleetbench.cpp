#include "control/testing/controlfleet.h"
#include "protocol/imessagecodec.h"
#include "protocol/protocolmodule.h"

#include <getopt.h>
#include <nlohmann/json.hpp>

#include <sys/resource.h>

#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

using namespace lavendertally;
using control::ControlFleet;
using framework::Milliseconds;

namespace {

constexpr int ExitUsage = 64;
constexpr std::uint64_t Seed = 1;
constexpr std::size_t Zones = 4;
constexpr Milliseconds WarmUp{10000};
constexpr std::int64_t MeasuredSeconds = 60;
constexpr Milliseconds Second{1000};
/// Length and request number that nng puts before each message.
constexpr double FramingBytes = 12;

/// One point of a series.
struct Size
{
    std::size_t entries;
    std::size_t hosts;
    /// Changes of configuration over the measured time.
    std::int64_t changes;
};

/// Messages and bytes, sent and received, of one role.
struct Traffic
{
    double messages = 0;
    double bytes = 0;
};

double processorSeconds()
{
    constexpr double Micro = 1e-6;
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec)
        + static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) * Micro;
}

/// Runs a fleet on a fake clock and counts its control messages.
class FleetBench
{
public:
    explicit FleetBench(const Size &size)
        : m_size(size), m_fleet(size.entries, size.hosts, Zones, Seed)
    {
        m_fleet.network().setTap(
            [this](const framework::Endpoint &from, const framework::Endpoint &to,
                   const protocol::Message &message) { count(from, to, message); });
    }

    nlohmann::json run()
    {
        m_fleet.advance(WarmUp);
        m_entry = {};
        m_host = {};
        const double start = processorSeconds();
        for (std::int64_t second = 0; second < MeasuredSeconds; ++second) {
            appendChanges(second);
            m_fleet.advance(Second);
        }
        const double used = processorSeconds() - start;
        constexpr double Micro = 1e6;
        const auto processes = static_cast<double>(m_fleet.size());
        return {{"entries", m_size.entries},
                {"hosts", m_size.hosts},
                {"changes_per_minute", m_size.changes},
                {"entry_messages_per_second", perSecond(m_entry.messages, m_size.entries)},
                {"entry_bytes_per_second", perSecond(m_entry.bytes, m_size.entries)},
                {"host_messages_per_second", perSecond(m_host.messages, m_size.hosts)},
                {"host_bytes_per_second", perSecond(m_host.bytes, m_size.hosts)},
                {"decision_cpu_us_per_process_second",
                 used * Micro / (processes * static_cast<double>(MeasuredSeconds))}};
    }

private:
    void appendChanges(std::int64_t second)
    {
        const std::int64_t due = m_size.changes * (second + 1) / MeasuredSeconds;
        for (; m_appended < due; ++m_appended) {
            m_fleet.appendZoneChange("z1", m_appended % 2 == 0);
        }
    }

    void count(const framework::Endpoint &from, const framework::Endpoint &to,
               const protocol::Message &message)
    {
        const double bytes = static_cast<double>(m_codec->encode(message).size()) + FramingBytes;
        for (const framework::Endpoint &end : {from, to}) {
            Traffic &traffic = end.port < m_size.entries ? m_entry : m_host;
            traffic.messages += 1;
            traffic.bytes += bytes;
        }
    }

    static double perSecond(double total, std::size_t processes)
    {
        const auto divisor = static_cast<double>(processes);
        return processes == 0 ? 0 : total / divisor / static_cast<double>(MeasuredSeconds);
    }

    Size m_size;
    ControlFleet m_fleet;
    std::unique_ptr<protocol::IMessageCodec> m_codec = protocol::ProtocolModule::makeCodec();
    Traffic m_entry;
    Traffic m_host;
    std::int64_t m_appended = 0;
};

nlohmann::json runSeries(const std::vector<Size> &sizes)
{
    nlohmann::json result = nlohmann::json::array();
    for (const Size &size : sizes) {
        result.push_back(FleetBench(size).run());
    }
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    static const option longOptions[] = {{"help", no_argument, nullptr, 'h'},
                                         {nullptr, 0, nullptr, 0}};
    const int choice = getopt_long(argc, argv, "", longOptions, nullptr);
    if (choice != -1 || optind < argc) {
        std::fputs("Usage: controlfleetbench\n"
                   "Counts control messages of whole fleets on a fake clock; prints JSON.\n",
                   choice == 'h' ? stdout : stderr);
        return choice == 'h' ? EXIT_SUCCESS : ExitUsage;
    }
    nlohmann::json result;
    result["over_entries"] = runSeries({{4, 0, 0}, {8, 0, 0}, {16, 0, 0}, {32, 0, 0}, {64, 0, 0}});
    result["over_hosts"] = runSeries({{4, 8, 0}, {4, 16, 0}, {4, 32, 0}, {4, 64, 0}});
    result["over_changes"] = runSeries({{8, 32, 0}, {8, 32, 6}, {8, 32, 19}, {8, 32, 60}});
    std::cout << result.dump(2) << '\n';
    return EXIT_SUCCESS;
}
