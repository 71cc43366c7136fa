#pragma once

#include "admission/types/placerefusal.h"

namespace lavendertally::proxy {

/// \return cause of a refusal for logs and metrics
inline const char *textOf(admission::PlaceRefusal refusal)
{
    switch (refusal) {
    case admission::PlaceRefusal::WouldBeLate:
        return "service full; would be late";
    case admission::PlaceRefusal::QueueFull:
        return "service full; queue full";
    case admission::PlaceRefusal::GaveWay:
        return "service full; gave way";
    case admission::PlaceRefusal::WaitedTooLong:
        return "service full; waited too long";
    case admission::PlaceRefusal::None:
        break;
    }
    return "none";
}

} // namespace lavendertally::proxy
