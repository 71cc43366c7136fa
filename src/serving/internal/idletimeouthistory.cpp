#include "serving/idletimeouthistory.h"

#include <algorithm>
#include <cstddef>

namespace lavendertally::serving {

namespace {

/// Replaced timeouts that are kept apart; the newest ones beyond count as one.
constexpr std::size_t MaxReplaced = 16;

} // namespace

void IdleTimeoutHistory::set(framework::Milliseconds timeout, framework::TimePoint now)
{
    forgetExpired(now);
    if (m_current && *m_current != timeout) {
        add({*m_current, now + *m_current});
    }
    m_current = timeout;
}

framework::Milliseconds IdleTimeoutHistory::longest(framework::TimePoint now) const
{
    framework::Milliseconds result = m_current.value_or(framework::Milliseconds(0));
    for (const Replaced &replaced : m_replaced) {
        if (now < replaced.validUntil) {
            result = std::max(result, replaced.timeout);
        }
    }
    return result;
}

void IdleTimeoutHistory::forgetExpired(framework::TimePoint now)
{
    std::erase_if(m_replaced,
                  [now](const Replaced &replaced) { return replaced.validUntil <= now; });
}

void IdleTimeoutHistory::add(const Replaced &replaced)
{
    // A timeout that is valid no longer than one at least as long makes no difference.
    const auto isCovered = [](const Replaced &one, const Replaced &other) {
        return one.timeout <= other.timeout && one.validUntil <= other.validUntil;
    };
    if (std::any_of(m_replaced.begin(), m_replaced.end(),
                    [&](const Replaced &kept) { return isCovered(replaced, kept); })) {
        return;
    }
    std::erase_if(m_replaced, [&](const Replaced &kept) { return isCovered(kept, replaced); });
    if (m_replaced.size() < MaxReplaced) {
        m_replaced.push_back(replaced);
        return;
    }
    // No connection is closed early by this; some stay open for longer.
    m_replaced.back().validUntil = replaced.validUntil;
}

} // namespace lavendertally::serving
