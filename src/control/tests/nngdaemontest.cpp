#include "control/testing/controlfleet.h"
#include "framework/iclock.h"
#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "protocol/imessagecodec.h"
#include "protocol/protocolmodule.h"

#include <gtest/gtest.h>

using namespace lavendertally;
using namespace lavendertally::control;
using framework::Milliseconds;

namespace {

constexpr Milliseconds LongTimeout{20000};
const infrastructure::StreamName Control{"control"};

} // namespace

/// An entry and a host process on one real event loop, connected by nng.
class NngDaemonTest : public testing::Test
{
protected:
    std::unique_ptr<IDaemonControl> make(FleetProcess &process, const std::string &id,
                                         configuration::DaemonRole role,
                                         const std::vector<framework::Endpoint> &seeds)
    {
        const bool isEntry = role == configuration::DaemonRole::Entry;
        const ControlDependencies parts{
            .identity = {framework::DaemonId(id), framework::HostId(id),
                         framework::AvailabilityZoneId("z0"), role},
            .seedPeers = seeds,
            .replica = *process.replica,
            .recordCodec = *m_recordCodec,
            .membership = *process.membership,
            .hostList = process.hostList,
            .log = isEntry ? &process.logService : nullptr,
            .clock = *m_clock,
            .random = *m_random,
            .logger = m_logger,
            .metrics = *process.metrics,
        };
        return ControlModule::makeDaemonControl(parts, *m_loop, *m_codec);
    }

    std::unique_ptr<framework::IEventLoop> m_loop = framework::FrameworkModule::makeEventLoop();
    std::unique_ptr<framework::IClock> m_clock = framework::FrameworkModule::makeSystemClock();
    std::unique_ptr<framework::IRandom> m_random = framework::FrameworkModule::makeRandom(1);
    std::unique_ptr<protocol::IMessageCodec> m_codec = protocol::ProtocolModule::makeCodec();
    std::unique_ptr<configuration::IControlRecordCodec> m_recordCodec =
        configuration::ConfigurationModule::makeRecordCodec();
    framework::NullLogger m_logger;
    infrastructure::FakeLog m_log;
    std::vector<membership::HostEntry> m_hosts;
    FleetProcess m_entry{*m_loop, m_log, m_hosts, framework::Bytes(1024 * 1024)};
    FleetProcess m_host{*m_loop, m_log, m_hosts, framework::Bytes(1024 * 1024)};
};

TEST_F(NngDaemonTest, ChangeInTheLog_ReachesHostProcessThroughSeedEntry)
{
    const auto entry = make(m_entry, "e0", configuration::DaemonRole::Entry, {});
    const framework::Endpoint endpoint = entry->start({"127.0.0.1", 0}).value();
    const auto host = make(m_host, "h0", configuration::DaemonRole::Host, {endpoint});
    ASSERT_TRUE(host->start({"127.0.0.1", 0}));
    const auto guard = m_loop->callAfter(LongTimeout, [this] { m_loop->stop(); });
    m_host.replica->onChange([this] { m_loop->stop(); });

    configuration::OperatorChange change;
    change.operation = framework::OperationId("op");
    change.change = configuration::SetHostOutOfService{framework::HostId("h9"), true};
    m_log.append(Control, {m_recordCodec->encode(change).value()});
    m_loop->run();

    EXPECT_TRUE(m_host.replica->current()->hostsOutOfService.contains(framework::HostId("h9")));
}
