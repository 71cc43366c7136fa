#pragma once

#include "admission/types/placerequest.h"
#include "framework/types/milliseconds.h"
#include "proxy/internal/iplacewaiter.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace lavendertally::framework {
class IScheduler;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::proxy {

class GatewayPlaces;

/// Waiting of one request for capacity at the backend servers of its service.
class CapacityWait final : public IPlaceWaiter
{
public:
    /// The arguments must outlive this object.
    CapacityWait(framework::IScheduler &scheduler, GatewayPlaces &places);
    ~CapacityWait() override;
    CapacityWait(const CapacityWait &) = delete;
    CapacityWait &operator=(const CapacityWait &) = delete;

    /// Requests a place for the next attempt. One of the functions is called, now or later, unless
    /// cancel() is called before.
    void requestPlace(const admission::PlaceRequest &request, std::function<void()> admitted,
                      std::function<void(const admission::PlaceDecision &)> refused);

    /// Waits briefly for a permit of backend servers that name rate limits, if the request may
    /// still do so. \param timeLeft time until the request's deadline \param next called after the
    /// wait, unless cancel() is called before \return whether the request waits
    bool waitForPermit(framework::Milliseconds timeLeft, std::function<void()> next);
    /// An attempt is sent; the next one may wait again.
    void reset() { m_permitWaits = 0; }
    void cancel();

    void onPlaceDecided(const admission::PlaceDecision &decision) override;

private:
    framework::IScheduler &m_scheduler;
    GatewayPlaces &m_places;
    /// How often the next attempt has waited for a permit.
    std::uint32_t m_permitWaits = 0;
    std::unique_ptr<framework::ITimer> m_timer;
    /// Request of the last call of requestPlace().
    admission::PlaceRequest m_request;
    std::function<void()> m_admitted;
    std::function<void(const admission::PlaceDecision &)> m_refused;
};

} // namespace lavendertally::proxy
