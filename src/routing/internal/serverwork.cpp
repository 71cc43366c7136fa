#include "routing/internal/serverwork.h"

#include <algorithm>
#include <cmath>

namespace lavendertally::routing {

namespace {

/// Share of a prompt that counts as unread for as long as its first event has not arrived.
constexpr double MinUnreadShare = 0.1;
constexpr double Percent = 100.0;

} // namespace

void ServerWork::started(CallNumber call, double readTokens, double writeTokens,
                         double firstEventMs, framework::TimePoint now)
{
    ++m_ownCalls;
    m_unread.push_back({call, readTokens, firstEventMs, now});
    m_unwrittenTokens += writeTokens;
}

void ServerWork::read(CallNumber call)
{
    std::erase_if(m_unread, [call](const Unread &unread) { return unread.call == call; });
}

void ServerWork::written(double tokens)
{
    m_unwrittenTokens = std::max(m_unwrittenTokens - tokens, 0.0);
}

void ServerWork::ended(CallNumber call, double tokensLeft)
{
    read(call);
    written(tokensLeft);
    m_ownCalls -= std::min<std::uint32_t>(m_ownCalls, 1);
    if (m_ownCalls == 0) {
        m_unwrittenTokens = 0.0;
    }
}

void ServerWork::observeLoad(const ServerLoad &load, framework::TimePoint now)
{
    const auto unread = static_cast<std::uint32_t>(m_unread.size());
    const std::uint32_t total = load.running + load.waiting;
    const std::uint32_t others = total > m_ownCalls ? total - m_ownCalls : 0;
    m_otherWaiting = std::min(load.waiting > unread ? load.waiting - unread : 0, others);
    m_otherRunning = others - m_otherWaiting;
    m_reportedAt = now;
    m_hasReport = true;
    if (load.workTimePercent) {
        m_reportsWorkTime = true;
        m_speed.observeReport(*load.workTimePercent, now);
    }
}

double ServerWork::unreadTokens(framework::TimePoint now) const
{
    double sum = 0.0;
    for (const Unread &unread : m_unread) {
        const auto elapsed = static_cast<double>((now - unread.sent).value());
        const double done = unread.firstEventMs > 0.0 ? elapsed / unread.firstEventMs : 0.0;
        sum += unread.tokens * std::clamp(1.0 - done, MinUnreadShare, 1.0);
    }
    return sum;
}

double ServerWork::overdueMs(framework::TimePoint now) const
{
    double overdue = 0.0;
    for (const Unread &unread : m_unread) {
        const auto elapsed = static_cast<double>((now - unread.sent).value());
        overdue = std::max(overdue, elapsed - unread.firstEventMs);
    }
    return overdue;
}

framework::Milliseconds ServerWork::reportAge(framework::TimePoint now) const
{
    return m_hasReport ? now - m_reportedAt : framework::Milliseconds(0);
}

ServerWorkView ServerWork::view(const framework::BackendServerId &server,
                                framework::TimePoint now) const
{
    ServerWorkView result;
    result.server = server;
    result.ownCalls = m_ownCalls;
    result.unreadTokens = framework::TokenCount(std::llround(unreadTokens(now)));
    result.unwrittenTokens = framework::TokenCount(std::llround(m_unwrittenTokens));
    result.otherCalls = m_otherRunning + m_otherWaiting;
    result.reportAge = reportAge(now);
    result.readTimePercent =
        static_cast<std::uint32_t>(std::lround(m_speed.readTime(now) * Percent));
    result.writeTimePercent =
        static_cast<std::uint32_t>(std::lround(m_speed.writeTime(now) * Percent));
    return result;
}

} // namespace lavendertally::routing
