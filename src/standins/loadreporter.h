#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"

#include <cstdint>

namespace lavendertally::standins {

/// Load figures that are taken at intervals and so are old when they are read.
class LoadReporter
{
public:
    struct Load
    {
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
    };

    /// \param interval time between two takings; zero means that figures are never old
    explicit LoadReporter(framework::Milliseconds interval) : m_interval(interval) { }

    /// \return the figures to report now
    /// \param frozen keeps the figures of the last taking
    const Load &report(framework::TimePoint now, const Load &present, bool frozen)
    {
        const bool due = !m_taken || now - m_takenAt >= m_interval;
        if (due && !frozen) {
            m_load = present;
            m_takenAt = now;
            m_taken = true;
        }
        return m_load;
    }

    framework::Milliseconds age(framework::TimePoint now) const { return now - m_takenAt; }

private:
    framework::Milliseconds m_interval;
    bool m_taken = false;
    framework::TimePoint m_takenAt;
    Load m_load;
};

} // namespace lavendertally::standins
