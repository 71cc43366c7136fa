#include "control/internal/snapshotwriter.h"

#include "configuration/iconfigurationreplica.h"
#include "configuration/icontrolrecordcodec.h"
#include "configuration/types/configurationview.h"
#include "control/controlstream.h"
#include "control/internal/rendezvous.h"
#include "control/isnapshotpolicy.h"
#include "framework/iclock.h"
#include "framework/ilogger.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "infrastructure/ilogservice.h"
#include "membership/imembership.h"

#include <utility>

namespace lavendertally::control {

namespace {

constexpr framework::Milliseconds CheckInterval{1000};
constexpr framework::Milliseconds AppendTimeout{5000};
constexpr const char *SnapshotKey = "snapshot writer";

} // namespace

SnapshotWriter::SnapshotWriter(ControlIdentity identity, infrastructure::ILogService &log,
                               ISnapshotPolicy &policy,
                               const configuration::IConfigurationReplica &replica,
                               const configuration::IControlRecordCodec &codec,
                               const membership::IMembership &membership,
                               framework::IScheduler &scheduler, const framework::IClock &clock,
                               framework::ILogger &logger)
    : m_identity(std::move(identity)), m_log(log), m_policy(policy), m_replica(replica),
      m_codec(codec), m_membership(membership), m_scheduler(scheduler), m_clock(clock),
      m_logger(logger)
{ }

SnapshotWriter::~SnapshotWriter() = default;

void SnapshotWriter::start()
{
    m_timer = m_scheduler.callAfter(CheckInterval, [this] { check(); });
}

void SnapshotWriter::check()
{
    const bool hasState = m_replica.current()->revision > framework::LogOffset();
    if (hasState && m_policy.isDue(rank(), m_clock.now())) {
        write();
    }
    start();
}

void SnapshotWriter::write()
{
    m_policy.noteAttempt(m_clock.now());
    const configuration::SnapshotRecord record{m_replica.current()->revision, m_replica.snapshot()};
    const framework::Result<std::string> data = m_codec.encode(record);
    if (!data) {
        m_logger.error(
            "cannot encode the state as a snapshot record; the state may expire from the log");
        return;
    }
    // The result is not needed: a record that was appended is read back from the stream, otherwise
    // the policy makes the next attempt due.
    m_log.append(controlStream(), {data.value()}, AppendTimeout,
                 [](const framework::Result<framework::LogOffset> &) {});
    m_logger.info("appending a snapshot record to the control stream",
                  {{"revision", std::to_string(record.revision.value())}});
}

std::size_t SnapshotWriter::rank() const
{
    const std::uint64_t own = rendezvousWeight(SnapshotKey, m_identity.host.value());
    std::size_t ahead = 0;
    for (const membership::HostEntry &entry : m_membership.entryHosts()) {
        const bool isSelf = entry.id == m_identity.host;
        const bool greater = rendezvousWeight(SnapshotKey, entry.id.value()) > own;
        ahead += !isSelf && greater ? 1 : 0;
    }
    return ahead;
}

} // namespace lavendertally::control
