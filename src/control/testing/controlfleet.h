#pragma once

#include "configuration/configurationmodule.h"
#include "configuration/iconfigurationreplica.h"
#include "configuration/icontrolrecordcodec.h"
#include "configuration/types/configurationview.h"
#include "control/controlmodule.h"
#include "control/idaemoncontrol.h"
#include "control/testing/fakecontrolnetwork.h"
#include "control/testing/pausablescheduler.h"
#include "control/types/controldependencies.h"
#include "framework/frameworkmodule.h"
#include "framework/imetrics.h"
#include "framework/irandom.h"
#include "framework/testing/fakescheduler.h"
#include "framework/testing/nulllogger.h"
#include "infrastructure/ihostlist.h"
#include "infrastructure/testing/fakelogservice.h"
#include "membership/imembershiptracker.h"
#include "membership/membershipmodule.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lavendertally::control {

/// Host list that returns the processes of a test fleet.
class FleetHostList final : public infrastructure::IHostList
{
public:
    FleetHostList(framework::IScheduler &scheduler, const std::vector<membership::HostEntry> &hosts)
        : m_scheduler(scheduler), m_hosts(hosts)
    { }

    void fetch(framework::Milliseconds /*timeout*/,
               std::function<void(framework::Result<std::vector<membership::HostEntry>>)> callback)
        override
    {
        m_timer = m_scheduler.callAfter(framework::Milliseconds(1),
                                        [this, callback = std::move(callback)] {
                                            const auto timer = std::move(m_timer);
                                            callback(m_hosts);
                                        });
    }

private:
    framework::IScheduler &m_scheduler;
    const std::vector<membership::HostEntry> &m_hosts;
    std::unique_ptr<framework::ITimer> m_timer;
};

/// One run of one process; a restart makes a new object, without the old state.
struct FleetProcess
{
    FleetProcess(framework::IScheduler &fleetScheduler, infrastructure::FakeLog &log,
                 const std::vector<membership::HostEntry> &hosts, framework::Bytes recordBuffer)
        : scheduler(fleetScheduler), logService(scheduler, log), hostList(scheduler, hosts),
          replica(configuration::ConfigurationModule::makeReplica(recordBuffer))
    {
        replica->onChange([this] {
            reverted = reverted || revision() < greatestRevision;
            greatestRevision = revision();
        });
    }

    std::uint64_t revision() const { return replica->current()->revision.value(); }

    PausableScheduler scheduler;
    infrastructure::FakeLogService logService;
    FleetHostList hostList;
    std::unique_ptr<framework::IMetrics> metrics = framework::FrameworkModule::makeMetrics();
    std::unique_ptr<configuration::IConfigurationReplica> replica;
    std::unique_ptr<membership::IMembershipTracker> membership =
        membership::MembershipModule::makeMembership();
    std::unique_ptr<IDaemonControl> control;
    /// Revision after the last change in this run.
    std::uint64_t greatestRevision = 0;
    /// Whether the revision ever decreased.
    bool reverted = false;
};

/// Entries and host processes with real IDaemonControl on a fake network, log and clock.
class ControlFleet
{
public:
    ControlFleet(std::size_t entries, std::size_t hosts, std::size_t zones, std::uint64_t seed)
        : m_random(framework::FrameworkModule::makeRandom(seed))
    {
        for (std::size_t i = 0; i < entries + hosts; ++i) {
            membership::HostEntry entry;
            entry.id = framework::HostId("h" + std::to_string(i));
            entry.zone = framework::AvailabilityZoneId("z" + std::to_string(i % zones));
            const bool isEntry = i < entries;
            entry.role = isEntry ? membership::HostRole::Entry : membership::HostRole::Backend;
            entry.control = {"10.0.0.1", static_cast<std::uint16_t>(i)};
            m_hosts.push_back(entry);
        }
        m_processes.resize(m_hosts.size());
        m_partitions.resize(m_hosts.size());
        appendZones(zones);
        m_network.setCanReach([this](const auto &from, const auto &to) {
            return m_partitions[from.port] == m_partitions[to.port];
        });
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            restart(i);
        }
    }

    std::size_t size() const { return m_processes.size(); }
    bool isEntry(std::size_t index) const
    {
        return m_hosts[index].role == membership::HostRole::Entry;
    }
    FleetProcess &process(std::size_t index) { return *m_processes[index]; }
    framework::IRandom &random() { return *m_random; }
    framework::FakeScheduler &scheduler() { return m_scheduler; }
    FakeControlNetwork &network() { return m_network; }
    infrastructure::FakeLog &log() { return m_log; }
    framework::Endpoint endpoint(std::size_t index) const { return m_hosts[index].control; }
    int partition(std::size_t index) const { return m_partitions[index]; }
    void setPartition(std::size_t index, int partition) { m_partitions[index] = partition; }

    /// Ends the process and starts a new one without its state.
    void restart(std::size_t index)
    {
        m_processes[index].reset();
        auto process = std::make_unique<FleetProcess>(m_scheduler, m_log, m_hosts, recordBuffer());
        process->logService.setDown(m_logDown);
        const membership::HostEntry &entry = m_hosts[index];
        ControlDependencies parts{
            .identity = {framework::DaemonId(entry.id.value()), entry.id, entry.zone,
                         isEntry(index) ? configuration::DaemonRole::Entry
                                        : configuration::DaemonRole::Host},
            .seedPeers = {},
            .replica = *process->replica,
            .recordCodec = *m_codec,
            .membership = *process->membership,
            .hostList = process->hostList,
            .log = isEntry(index) ? &process->logService : nullptr,
            .clock = m_clock,
            .random = *m_random,
            .logger = m_logger,
            .metrics = *process->metrics,
            .syncLimits = m_syncLimits,
        };
        process->control = ControlModule::makeDaemonControl(
            parts, process->scheduler, m_network.makeServer(process->scheduler, entry.control),
            m_network.makeClient(process->scheduler, entry.control));
        process->control->start(entry.control).value();
        m_processes[index] = std::move(process);
    }

    void setLogDown(bool down)
    {
        m_logDown = down;
        for (const auto &process : m_processes) {
            process->logService.setDown(down);
        }
    }
    bool isLogDown() const { return m_logDown; }

    /// Drops records before \p first from the log, as expiry of their retention does.
    void expireLog(std::uint64_t first)
    {
        m_log.expireUpTo(infrastructure::StreamName("control"), framework::LogOffset(first));
    }

    /// Appends a change to the log, as the operator's tool does.
    void appendZoneChange(const std::string &zone, bool out)
    {
        configuration::OperatorChange change;
        change.operation = framework::OperationId("op" + std::to_string(++m_lastOperation));
        change.change =
            configuration::SetZoneOutOfService{framework::AvailabilityZoneId(zone), out};
        m_log.append(infrastructure::StreamName("control"), {m_codec->encode(change).value()});
    }

    /// Appends the configuration with the availability zones as the record at offset zero.
    void appendZones(std::size_t zones)
    {
        std::string text = "availability_zones: [z0";
        for (std::size_t i = 1; i < zones; ++i) {
            text += ", z" + std::to_string(i);
        }
        configuration::ApplyFiles files;
        files.files["zones.yaml"] = text + "]\n";
        configuration::OperatorChange change;
        change.operation = framework::OperationId("zones");
        change.change = files;
        m_log.append(infrastructure::StreamName("control"), {m_codec->encode(change).value()});
    }

    std::uint64_t logEnd() const
    {
        return m_log.end(infrastructure::StreamName("control")).value();
    }

    void advance(framework::Milliseconds step) { m_scheduler.advance(step); }

    SyncLimits m_syncLimits;

private:
    /// About half of the processes have a buffer too small for most records, so that they answer
    /// with snapshots.
    framework::Bytes recordBuffer()
    {
        constexpr framework::Bytes Large{1024 * 1024};
        constexpr framework::Bytes Small{150};
        return m_random->below(2) == 0 ? Large : Small;
    }

    /// Mostly a few milliseconds, occasionally long enough that messages are reordered.
    framework::Milliseconds latency()
    {
        constexpr std::uint64_t SlowOneIn = 10;
        constexpr std::uint64_t Slow = 150;
        constexpr std::uint64_t Fast = 5;
        const std::uint64_t bound = m_random->below(SlowOneIn) == 0 ? Slow : Fast;
        return framework::Milliseconds(1 + static_cast<std::int64_t>(m_random->below(bound)));
    }

    framework::FakeClock m_clock;
    framework::FakeScheduler m_scheduler{m_clock};
    framework::NullLogger m_logger;
    std::unique_ptr<framework::IRandom> m_random;
    std::unique_ptr<configuration::IControlRecordCodec> m_codec =
        configuration::ConfigurationModule::makeRecordCodec();
    infrastructure::FakeLog m_log;
    FakeControlNetwork m_network{[this] { return latency(); }};
    std::vector<membership::HostEntry> m_hosts;
    std::vector<int> m_partitions;
    bool m_logDown = false;
    std::uint64_t m_lastOperation = 0;
    std::vector<std::unique_ptr<FleetProcess>> m_processes;
};

} // namespace lavendertally::control
