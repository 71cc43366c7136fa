#pragma once

namespace lavendertally::admission {
struct PlaceDecision;
}

namespace lavendertally::proxy {

/// A request that waits for a place at a service.
class IPlaceWaiter
{
public:
    virtual ~IPlaceWaiter() = default;

    /// \param decision final: the request goes on or is refused
    virtual void onPlaceDecided(const admission::PlaceDecision &decision) = 0;
};

} // namespace lavendertally::proxy
