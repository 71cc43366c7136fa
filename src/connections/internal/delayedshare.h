#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"

#include <cstdint>
#include <optional>

namespace lavendertally::connections {

/// A share that falls at once and rises late, when the gateways whose shares fall for it have
/// learned of that.
class DelayedShare
{
public:
    explicit DelayedShare(framework::Milliseconds raiseDelay) : m_raiseDelay(raiseDelay) { }

    /// \param target share by what is known now; the first one counts at once
    void update(std::uint32_t target, framework::TimePoint now);
    /// Keeps the value at or below \p limit. If there is none yet, it becomes \p limit.
    /// \param target share that follows when it has been the target for the raise delay
    /// \param since since when \p target has been the target
    void limit(std::uint32_t limit, std::uint32_t target, framework::TimePoint since);
    /// Sets the value until the first update() or limit().
    void assume(std::uint32_t value) { m_assumed = value; }
    std::uint32_t value() const { return m_value.value_or(m_assumed); }

private:
    framework::Milliseconds m_raiseDelay;
    std::uint32_t m_assumed = 0;
    std::optional<std::uint32_t> m_value;
    /// Higher value to come, and since when it has been the target.
    std::uint32_t m_pending = 0;
    framework::TimePoint m_pendingSince;
};

} // namespace lavendertally::connections
