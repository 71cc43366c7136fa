#include "operatortool/internal/changesubmission.h"

#include "framework/iclock.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "operatortool/ioperatorclient.h"

#include <algorithm>
#include <utility>

namespace lavendertally::operatortool {

namespace {

constexpr framework::Milliseconds MinBackoff{100};
constexpr framework::Milliseconds MaxBackoff{1600};
constexpr std::int64_t BackoffFactor = 2;
/// Longest time for one attempt, so that a frozen entry leaves time for another one.
constexpr framework::Milliseconds MaxAttempt{5000};
constexpr framework::Milliseconds MinAttempt{1};

bool isFinal(ChangeStatus status)
{
    return status != ChangeStatus::Unknown && status != ChangeStatus::NotApplied;
}

} // namespace

ChangeSubmission::ChangeSubmission(IOperatorClient &client, framework::IScheduler &scheduler,
                                   const framework::IClock &clock,
                                   configuration::OperatorChange change,
                                   framework::Milliseconds timeLimit)
    : m_client(client), m_scheduler(scheduler), m_clock(clock), m_change(std::move(change)),
      m_deadline(clock.now() + timeLimit), m_backoff(MinBackoff)
{ }

ChangeSubmission::~ChangeSubmission() = default;

void ChangeSubmission::start(std::function<void(ChangeOutcome)> callback)
{
    m_callback = std::move(callback);
    attempt();
}

void ChangeSubmission::attempt()
{
    const framework::Milliseconds left = m_deadline - m_clock.now();
    m_client.submit(m_change, std::clamp(left, MinAttempt, MaxAttempt),
                    [this](ChangeOutcome outcome) { handleOutcome(std::move(outcome)); });
}

void ChangeSubmission::handleOutcome(ChangeOutcome outcome)
{
    m_mayBePublished = m_mayBePublished || outcome.status == ChangeStatus::Unknown;
    const bool hasTime = m_clock.now() + m_backoff < m_deadline;
    if (isFinal(outcome.status) || !hasTime) {
        finish(std::move(outcome));
        return;
    }
    m_retryTimer = m_scheduler.callAfter(m_backoff, [this] { attempt(); });
    m_backoff = std::min(m_backoff * BackoffFactor, MaxBackoff);
}

void ChangeSubmission::finish(ChangeOutcome outcome)
{
    if (outcome.status == ChangeStatus::NotApplied && m_mayBePublished) {
        outcome.status = ChangeStatus::Unknown;
    }
    // The callback may destroy this object.
    const auto callback = std::move(m_callback);
    callback(std::move(outcome));
}

} // namespace lavendertally::operatortool
