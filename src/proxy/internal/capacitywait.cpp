#include "proxy/internal/capacitywait.h"

#include "admission/types/placedecision.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "proxy/internal/gatewayplaces.h"

#include <utility>

namespace lavendertally::proxy {

namespace {

/// How long a request waits for a permit before it asks again, and how often: a little longer than
/// a daemon waits between two requests for permits.
constexpr framework::Milliseconds PermitWait{50};
constexpr std::uint32_t MaxPermitWaits = 6;

} // namespace

CapacityWait::CapacityWait(framework::IScheduler &scheduler, GatewayPlaces &places)
    : m_scheduler(scheduler), m_places(places)
{ }

CapacityWait::~CapacityWait()
{
    cancel();
}

void CapacityWait::requestPlace(const admission::PlaceRequest &request,
                                std::function<void()> admitted,
                                std::function<void(const admission::PlaceDecision &)> refused)
{
    m_request = request;
    m_admitted = std::move(admitted);
    m_refused = std::move(refused);
    const admission::PlaceDecision decision = m_places.offer(request, *this);
    if (decision.verdict != admission::AdmissionVerdict::Wait) {
        onPlaceDecided(decision);
    }
}

void CapacityWait::onPlaceDecided(const admission::PlaceDecision &decision)
{
    const auto admitted = std::exchange(m_admitted, nullptr);
    const auto refused = std::exchange(m_refused, nullptr);
    if (decision.verdict == admission::AdmissionVerdict::Run) {
        admitted();
    } else {
        refused(decision);
    }
}

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
    if (std::exchange(m_admitted, nullptr)) {
        m_refused = nullptr;
        m_places.cancelWaiting(m_request);
    }
}

} // namespace lavendertally::proxy
