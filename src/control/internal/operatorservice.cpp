#include "control/internal/operatorservice.h"

#include "configuration/iconfigurationreplica.h"
#include "configuration/icontrolrecordcodec.h"
#include "control/controlstream.h"
#include "control/types/operatorerror.h"
#include "framework/asyncerror.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "infrastructure/ilogservice.h"
#include "infrastructure/types/infrastructureerror.h"

#include <utility>
#include <vector>

namespace lavendertally::control {

using configuration::OperationOutcome;

namespace {

constexpr framework::Milliseconds NextLoopIteration{0};

/// \return whether an append that failed with \p error certainly had no effect
bool hadNoEffect(infrastructure::InfrastructureError error)
{
    return error == infrastructure::InfrastructureError::Unavailable
        || error == infrastructure::InfrastructureError::RateLimited;
}

} // namespace

OperatorService::OperatorService(infrastructure::ILogService &log,
                                 configuration::IConfigurationReplica &replica,
                                 const configuration::IControlRecordCodec &codec,
                                 framework::IScheduler &scheduler)
    : m_log(log), m_replica(replica), m_codec(codec), m_scheduler(scheduler)
{
    const std::weak_ptr<const bool> alive = m_alive;
    m_replica.onChange([this, alive] {
        if (!alive.expired()) {
            completeDecided();
        }
    });
}

OperatorService::~OperatorService() = default;

void OperatorService::submit(const configuration::OperatorChange &change,
                             framework::Milliseconds timeout, Callback callback)
{
    const std::uint64_t key = m_nextKey++;
    m_pending[key] = Pending{change.operation, std::move(callback), nullptr};
    if (m_replica.outcome(change.operation)) {
        m_decidedTimer = m_scheduler.callAfter(NextLoopIteration, [this] { completeDecided(); });
        return;
    }
    const framework::Result<std::string> data = m_codec.encode(change);
    if (!data) {
        scheduleFailure(key, NextLoopIteration, OperatorError::InvalidChange);
        return;
    }
    scheduleFailure(key, timeout, OperatorError::OutcomeUnknown);
    append(key, data.value(), timeout);
}

void OperatorService::append(std::uint64_t key, const std::string &data,
                             framework::Milliseconds timeout)
{
    const std::weak_ptr<const bool> alive = m_alive;
    m_log.append(controlStream(), {data}, timeout,
                 [this, alive, key](framework::Result<framework::LogOffset> result) {
                     if (!alive.expired()) {
                         handleAppend(key, std::move(result));
                     }
                 });
}

void OperatorService::handleAppend(std::uint64_t key,
                                   framework::Result<framework::LogOffset> result)
{
    if (result) {
        return;
    }
    const auto error =
        framework::errorOf(std::move(result), infrastructure::InfrastructureError::AnswerLost);
    if (hadNoEffect(error)) {
        fail(key, OperatorError::Unavailable);
    }
    // Otherwise the change may be in the log; the replica may still read it before the timeout.
}

void OperatorService::completeDecided()
{
    std::vector<std::pair<Callback, OperationOutcome>> decided;
    for (auto item = m_pending.begin(); item != m_pending.end();) {
        const auto outcome = m_replica.outcome(item->second.operation);
        if (!outcome) {
            ++item;
            continue;
        }
        decided.emplace_back(std::move(item->second.callback), *outcome);
        item = m_pending.erase(item);
    }
    for (const auto &[callback, outcome] : decided) {
        callback(outcome);
    }
}

void OperatorService::fail(std::uint64_t key, OperatorError error)
{
    auto node = m_pending.extract(key);
    if (node.empty()) {
        return;
    }
    node.mapped().callback(framework::asyncError<OperationOutcome>(error));
}

void OperatorService::scheduleFailure(std::uint64_t key, framework::Milliseconds delay,
                                      OperatorError error)
{
    m_pending[key].timer = m_scheduler.callAfter(delay, [this, key, error] { fail(key, error); });
}

} // namespace lavendertally::control
