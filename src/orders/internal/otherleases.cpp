#include "orders/internal/otherleases.h"

#include "orders/types/leaselimits.h"

#include <algorithm>

namespace lavendertally::orders {

namespace {

constexpr std::int64_t Percent = 100;

} // namespace

void OtherLeases::addLease(const HolderId &holder, framework::Milliseconds duration,
                           framework::TimePoint readAt)
{
    framework::TimePoint &end = m_ends[holder];
    end = std::max(end, endOf(duration, readAt));
}

void OtherLeases::addUnknownHolder(framework::TimePoint readAt)
{
    m_unknownEnd = std::max(m_unknownEnd, endOf(LeaseLimits::MaxDuration, readAt));
}

framework::TimePoint OtherLeases::end() const
{
    framework::TimePoint latest = m_unknownEnd;
    for (const auto &[holder, end] : m_ends) {
        latest = std::max(latest, end);
    }
    return latest;
}

framework::TimePoint OtherLeases::endOf(framework::Milliseconds duration,
                                        framework::TimePoint readAt) const
{
    // One millisecond more, as clocks round down.
    const std::int64_t drift = duration.value() * m_driftPercent / Percent + 1;
    return readAt + duration + framework::Milliseconds(drift);
}

} // namespace lavendertally::orders
