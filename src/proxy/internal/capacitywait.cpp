#include "proxy/internal/capacitywait.h"

#include "framework/ischeduler.h"
#include "framework/itimer.h"

#include <utility>

namespace lavendertally::proxy {

namespace {

/// How long a request waits for a permit before it asks again, and how often: a little longer than
/// a daemon waits between two requests for permits.
constexpr framework::Milliseconds PermitWait{50};
constexpr std::uint32_t MaxPermitWaits = 6;

} // namespace

CapacityWait::CapacityWait(framework::IScheduler &scheduler) : m_scheduler(scheduler) { }

CapacityWait::~CapacityWait() = default;

bool CapacityWait::waitForPermit(framework::Milliseconds timeLeft, std::function<void()> next)
{
    if (m_permitWaits >= MaxPermitWaits || timeLeft <= PermitWait) {
        return false;
    }
    ++m_permitWaits;
    m_timer = m_scheduler.callAfter(PermitWait, std::move(next));
    return true;
}

void CapacityWait::cancel()
{
    m_timer.reset();
}

} // namespace lavendertally::proxy
