#include "rollout/internal/statuswriter.h"

#include "framework/iclock.h"
#include "framework/ilogger.h"
#include "framework/imetrics.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"

#include <algorithm>

namespace lavendertally::rollout {

namespace {

constexpr framework::Milliseconds RetryInterval{300};
/// If the statuses cannot be read for so long, decisions go on without them.
constexpr framework::Milliseconds MaxReadTime{1500};

const char *stateName(RolloutState state)
{
    switch (state) {
    case RolloutState::Running:
        return "running";
    case RolloutState::Completed:
        return "completed";
    case RolloutState::RolledBack:
        return "rolled back";
    }
    return "unknown";
}

} // namespace

StatusWriter::StatusWriter(IRolloutStatusStore &store, framework::IScheduler &scheduler,
                           const framework::IClock &clock, framework::ILogger &logger,
                           framework::IMetrics &metrics)
    : m_store(store), m_scheduler(scheduler), m_clock(clock), m_logger(logger), m_metrics(metrics)
{ }

StatusWriter::~StatusWriter() = default;

void StatusWriter::start()
{
    if (m_isActive) {
        return;
    }
    m_isActive = true;
    m_started = m_clock.now();
    readAgain();
}

void StatusWriter::stop()
{
    m_isActive = false;
    m_isRead = false;
    m_wanted.clear();
    m_retryTimer.reset();
}

void StatusWriter::readAgain()
{
    m_isCurrent = false;
    process();
}

void StatusWriter::want(const RolloutStatus &status)
{
    RolloutStatus &wanted = m_wanted[status.service];
    if (wanted != status) {
        wanted = status;
        process();
    }
}

void StatusWriter::forget(const framework::ServiceId &service)
{
    m_wanted.erase(service);
}

bool StatusWriter::isDecidable() const
{
    return m_isRead || m_clock.now() - m_started >= MaxReadTime;
}

/// A status that was written in an earlier era of the store belongs to an order of the same target
/// that was written again since.
bool StatusWriter::isOf(const RolloutStatus &status, const RolloutOrder &order)
{
    return status.target == order.target
        && (status.order == order.id || status.order.era < order.id.era);
}

std::optional<RolloutStatus> StatusWriter::known(const RolloutOrder &order) const
{
    const auto found = m_known.find(order.service);
    if (found == m_known.end() || !isOf(found->second, order)) {
        return std::nullopt;
    }
    return found->second;
}

bool StatusWriter::needsWrite(const RolloutStatus &wanted) const
{
    const auto found = m_known.find(wanted.service);
    if (found == m_known.end()) {
        return true;
    }
    const RolloutStatus &known = found->second;
    const bool isSameOrder = isOf(known, {wanted.service, wanted.target, {}, wanted.order});
    return isSameOrder ? !known.isFinal() && known.state != wanted.state : true;
}

void StatusWriter::process()
{
    if (!m_isActive || m_isBusy || m_retryTimer) {
        return;
    }
    if (!m_isCurrent) {
        read();
        return;
    }
    writeNext();
}

void StatusWriter::read()
{
    m_isBusy = true;
    m_store.read([this](std::optional<IRolloutStatusStore::Content> content) {
        m_isBusy = false;
        onRead(std::move(content));
    });
}

void StatusWriter::onRead(std::optional<IRolloutStatusStore::Content> content)
{
    if (!content) {
        retry();
        return;
    }
    m_known.clear();
    for (const RolloutStatus &status : content->statuses) {
        m_known[status.service] = status;
    }
    m_end = content->end;
    m_isRead = true;
    m_isCurrent = true;
    m_isFailing = false;
    process();
}

void StatusWriter::writeNext()
{
    const auto next = std::find_if(m_wanted.begin(), m_wanted.end(),
                                   [this](const auto &each) { return needsWrite(each.second); });
    if (next == m_wanted.end()) {
        return;
    }
    m_isBusy = true;
    m_store.write(next->second, m_end, [this, status = next->second](StatusWriteOutcome outcome) {
        m_isBusy = false;
        onWritten(status, outcome);
    });
}

void StatusWriter::onWritten(const RolloutStatus &status, StatusWriteOutcome outcome)
{
    const char *name = outcome == StatusWriteOutcome::Written ? "written"
        : outcome == StatusWriteOutcome::Outdated             ? "outdated"
                                                              : "failed";
    m_metrics.increment("lavendertally_rollout_status_writes_total", {{"outcome", name}});
    switch (outcome) {
    case StatusWriteOutcome::Written:
        m_known[status.service] = status;
        m_end = m_end.next();
        m_logger.info("status of a rollout written",
                      {{"service", status.service.value()},
                       {"target", status.target.value()},
                       {"state", stateName(status.state)}});
        process();
        return;
    case StatusWriteOutcome::Outdated:
        // Another daemon was faster; what it wrote is read before anything else is written.
        readAgain();
        return;
    case StatusWriteOutcome::Failed:
        m_isCurrent = false;
        retry();
        return;
    }
}

void StatusWriter::retry()
{
    if (!m_isFailing) {
        m_isFailing = true;
        m_logger.warning("statuses of rollouts cannot be read or written; this is tried again",
                         {{"interval_ms", std::to_string(RetryInterval.value())}});
    }
    if (!m_isActive) {
        return;
    }
    m_retryTimer = m_scheduler.callAfter(RetryInterval, [this] {
        m_retryTimer.reset();
        process();
    });
}

} // namespace lavendertally::rollout
