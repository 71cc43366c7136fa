#pragma once

#include "framework/types/timepoint.h"
#include "orders/types/holderid.h"

#include <cstdint>
#include <map>

namespace lavendertally::orders {

/// Until when other holders may still act, on this process's clock. A holder counts its lease from
/// before its record reached the log, so a lease has run out once its duration has passed since
/// this process read the record.
class OtherLeases
{
public:
    /// \param clockDriftPercent most that two clocks differ in rate
    explicit OtherLeases(std::int64_t clockDriftPercent) : m_driftPercent(clockDriftPercent) { }

    void addLease(const HolderId &holder, framework::Milliseconds duration,
                  framework::TimePoint readAt);
    void removeHolder(const HolderId &holder) { m_ends.erase(holder); }

    /// Counts a holder whose record has expired.
    void addUnknownHolder(framework::TimePoint readAt);

    /// \return when all of them have run out
    framework::TimePoint end() const;

private:
    framework::TimePoint endOf(framework::Milliseconds duration, framework::TimePoint readAt) const;

    std::int64_t m_driftPercent;
    std::map<HolderId, framework::TimePoint> m_ends;
    framework::TimePoint m_unknownEnd;
};

} // namespace lavendertally::orders
