#pragma once

#include "framework/iclock.h"

namespace lavendertally::framework {

/// Clock that a test advances.
class FakeClock final : public IClock
{
public:
    TimePoint now() const override { return m_now; }
    TimePoint wallNow() const override { return m_now + m_wallOffset; }

    void advance(Milliseconds step) { m_now = m_now + step; }
    void set(TimePoint now) { m_now = now; }

private:
    /// Wall clock of 2026-01-01 UTC when the monotonic clock reads zero.
    Milliseconds m_wallOffset{1767225600000};
    TimePoint m_now;
};

} // namespace lavendertally::framework
