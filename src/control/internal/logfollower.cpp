#include "control/internal/logfollower.h"

#include "control/controlstream.h"
#include "control/iisolationpolicy.h"
#include "control/internal/replicaupdater.h"
#include "control/irevisionsyncpolicy.h"
#include "framework/asyncerror.h"
#include "framework/iclock.h"
#include "framework/imetrics.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "infrastructure/ilogservice.h"
#include "infrastructure/types/infrastructureerror.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace lavendertally::control {

using framework::Milliseconds;

namespace {

constexpr std::uint32_t PageLimit = 256;
constexpr Milliseconds LongPoll{10000};
constexpr Milliseconds ReadTimeout{12000};
constexpr Milliseconds CheckTimeout{2000};
/// Limits the rate of reads while new records keep arriving.
constexpr Milliseconds MinReadInterval{50};
/// How often an entry that does not follow the log checks whether a read is due.
constexpr Milliseconds ModeCheckInterval{500};
constexpr Milliseconds MinBackoff{250};
constexpr Milliseconds MaxBackoff{1000};

std::vector<configuration::ControlRecord> recordsOf(const infrastructure::LogPage &page)
{
    std::vector<configuration::ControlRecord> records;
    records.reserve(page.records.size());
    for (const infrastructure::LogRecord &record : page.records) {
        records.push_back({record.offset, record.data});
    }
    return records;
}

} // namespace

LogFollower::LogFollower(infrastructure::ILogService &log, const IRevisionSyncPolicy &policy,
                         IIsolationPolicy &isolation, ReplicaUpdater &updater,
                         framework::IScheduler &scheduler, const framework::IClock &clock,
                         framework::IMetrics &metrics, Milliseconds checkInterval)
    : m_log(log), m_policy(policy), m_isolation(isolation), m_updater(updater),
      m_scheduler(scheduler), m_clock(clock), m_metrics(metrics), m_checkInterval(checkInterval),
      m_backoff(MinBackoff)
{ }

LogFollower::~LogFollower() = default;

void LogFollower::start()
{
    schedule(Milliseconds(0));
}

void LogFollower::schedule(Milliseconds delay)
{
    m_timer = m_scheduler.callAfter(delay, [this] { readIfDue(); });
}

void LogFollower::readIfDue()
{
    const bool follows = m_policy.logReadMode(m_clock.now()) == LogReadMode::Follow;
    if (!follows && m_clock.now() < m_nextCheck) {
        schedule(ModeCheckInterval);
        return;
    }
    m_nextCheck = m_clock.now() + m_checkInterval;
    read();
}

void LogFollower::read()
{
    const bool follows = m_policy.logReadMode(m_clock.now()) == LogReadMode::Follow;
    const Milliseconds wait = follows && !m_snapshotScan ? LongPoll : Milliseconds(0);
    const Milliseconds timeout = follows ? ReadTimeout : CheckTimeout;
    const framework::LogOffset from = m_snapshotScan.value_or(m_updater.revision());
    const std::weak_ptr<const bool> alive = m_alive;
    m_metrics.increment("lavendertally_control_log_reads_total", {});
    m_log.read(controlStream(), from, PageLimit, wait, timeout,
               [this, alive](framework::Result<infrastructure::LogPage> result) {
                   if (!alive.expired()) {
                       handleResult(std::move(result));
                   }
               });
}

void LogFollower::handleResult(framework::Result<infrastructure::LogPage> result)
{
    if (result) {
        handlePage(result.value());
        return;
    }
    const auto error =
        framework::errorOf(std::move(result), infrastructure::InfrastructureError::Unavailable);
    handleError(error == infrastructure::InfrastructureError::Expired);
}

void LogFollower::handlePage(const infrastructure::LogPage &page)
{
    m_lastAnswer = m_clock.now();
    m_backoff = MinBackoff;
    const framework::LogOffset before = m_updater.revision();
    const bool continues = m_updater.applyRecords(recordsOf(page));
    const framework::LogOffset own = m_updater.revision();
    m_isolation.noteContact(page.end, own, m_clock.now());
    if (continues || own > before) {
        m_snapshotScan.reset();
    } else {
        // This page holds no snapshot; continue with the next one.
        m_snapshotScan = page.next;
    }
    schedule(MinReadInterval);
}

void LogFollower::handleError(bool expired)
{
    if (expired) {
        findOldestOffset();
        return;
    }
    m_metrics.increment("lavendertally_control_log_failures_total", {});
    schedule(m_backoff);
    m_backoff = std::min(m_backoff * 2, MaxBackoff);
}

void LogFollower::findOldestOffset()
{
    // A read beyond the end returns no records but reports the oldest retained offset.
    const framework::LogOffset beyond(std::numeric_limits<std::int64_t>::max());
    const std::weak_ptr<const bool> alive = m_alive;
    m_log.read(controlStream(), beyond, 1, Milliseconds(0), CheckTimeout,
               [this, alive](const framework::Result<infrastructure::LogPage> &result) {
                   if (alive.expired()) {
                       return;
                   }
                   if (result) {
                       m_snapshotScan = result.value().first;
                   }
                   schedule(m_backoff);
               });
}

} // namespace lavendertally::control
