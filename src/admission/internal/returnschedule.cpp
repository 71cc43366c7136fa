#include "admission/internal/returnschedule.h"

#include "framework/irandom.h"

#include <algorithm>

namespace lavendertally::admission {

namespace {

/// Timers of callers and the clock of this process differ by this much.
constexpr framework::Milliseconds EarlyTolerance{5};
/// The time given by first attempts varies by this much on the way to the gateway.
constexpr framework::Milliseconds RepeatTolerance{15};
/// Returns are spread over one of this many parts of the time that they are told.
constexpr std::int64_t SpreadDivisor = 4;
/// For how long after its time a return is recognised as late, as a multiple of the hold time.
constexpr std::int64_t LateFactor = 4;
/// The usual time given shrinks by one of this many parts with each request, so that it follows
/// clients that allow less time than before.
constexpr std::int64_t UsualTimeDecay = 1024;

} // namespace

ReturnSchedule::ReturnSchedule(framework::IRandom &random, const PlaceLimits &limits)
    : m_random(random), m_limits(limits)
{ }

ReturnSchedule::Arrival ReturnSchedule::arrive(const PlaceRequest &request,
                                               framework::TimePoint now)
{
    const framework::Milliseconds elapsed = elapsedSinceFirst(request);
    expire(now);
    Arrival arrival;
    arrival.timing = matchIdentity(request, now);
    arrival.isRepeated = elapsed > RepeatTolerance || arrival.timing != ReturnTiming::None;
    if (arrival.timing == ReturnTiming::None) {
        arrival.timing = matchAnonymously(request, elapsed, now);
    }
    return arrival;
}

void ReturnSchedule::expire(framework::TimePoint now)
{
    const framework::Milliseconds kept = m_limits.holdTime * LateFactor;
    std::erase_if(m_expected, [&](const Expected &expected) { return expected.due + kept < now; });
}

ReturnTiming ReturnSchedule::matchIdentity(const PlaceRequest &request, framework::TimePoint now)
{
    if (request.identity == 0) {
        return ReturnTiming::None;
    }
    const auto found =
        std::find_if(m_expected.begin(), m_expected.end(), [&request](const Expected &expected) {
            return expected.identity == request.identity;
        });
    if (found == m_expected.end()) {
        return ReturnTiming::None;
    }
    const framework::TimePoint due = found->due;
    // A return that is early or late gives its place up; if it is refused, it gets another one.
    m_expected.erase(found);
    if (now + EarlyTolerance < due) {
        return ReturnTiming::Early;
    }
    return now <= due + m_limits.holdTime ? ReturnTiming::OnTime : ReturnTiming::Late;
}

/// A caller that did not wait has too much of its time left to pass for a return that is due; it is
/// early if no promise is as short as the time that it has spent.
ReturnTiming ReturnSchedule::matchAnonymously(const PlaceRequest &request,
                                              framework::Milliseconds elapsed,
                                              framework::TimePoint now)
{
    bool isEarly = elapsed > RepeatTolerance;
    bool isExpected = false;
    for (auto expected = m_expected.begin(); expected != m_expected.end(); ++expected) {
        if (expected->route != request.route || expected->rank != request.rank) {
            continue;
        }
        isExpected = true;
        if (elapsed + EarlyTolerance < expected->due - expected->refusedAt) {
            continue;
        }
        isEarly = false;
        if (expected->isDue(now, m_limits.holdTime)) {
            m_expected.erase(expected);
            return ReturnTiming::OnTime;
        }
    }
    return isExpected && isEarly ? ReturnTiming::Early : ReturnTiming::None;
}

/// \return time that the client seems to have spent on earlier attempts
framework::Milliseconds ReturnSchedule::elapsedSinceFirst(const PlaceRequest &request)
{
    const std::pair key(request.team, request.route);
    auto usual = m_usualTimes.find(key);
    if (usual == m_usualTimes.end()) {
        if (m_usualTimes.size() >= m_limits.maxUsualTimes) {
            return framework::Milliseconds(0);
        }
        usual = m_usualTimes.emplace(key, request.timeGiven).first;
    }
    const framework::Milliseconds shrunk(usual->second.value()
                                         - usual->second.value() / UsualTimeDecay);
    usual->second = std::max(shrunk, request.timeGiven);
    return usual->second - request.timeGiven;
}

framework::Milliseconds ReturnSchedule::promise(const PlaceRequest &request,
                                                framework::Milliseconds wait,
                                                framework::Milliseconds interval,
                                                framework::Milliseconds serviceTime,
                                                framework::TimePoint now)
{
    const framework::TimePoint earliest = now + std::max(wait, m_limits.minRetryAfter);
    const auto planned = m_nextDue.find(request.rank);
    const framework::TimePoint place =
        planned != m_nextDue.end() ? std::max(planned->second, earliest) : earliest;
    const framework::Milliseconds timeLeft = request.deadline - now;
    const framework::Milliseconds longest =
        std::min(framework::Milliseconds(timeLeft.value() / m_limits.retryAfterDivisor),
                 timeLeft - serviceTime);
    const framework::Milliseconds delay = place - now;
    if (delay > longest || m_expected.size() >= m_limits.maxExpectedReturns) {
        return delay;
    }
    const framework::Milliseconds spread =
        std::max(m_limits.minSpread, framework::Milliseconds(delay.value() / SpreadDivisor));
    const auto drawn =
        static_cast<std::int64_t>(m_random.below(static_cast<std::uint64_t>(spread.value()) + 1));
    const framework::Milliseconds named = std::min(delay + framework::Milliseconds(drawn), longest);
    planPlaceAfter(place, request.rank, interval);
    m_expected.push_back({request.identity, request.route, request.rank, now, now + named});
    return named;
}

/// Plans the place after \p place for returns of \p rank and of those behind it.
void ReturnSchedule::planPlaceAfter(framework::TimePoint place, framework::PriorityRank rank,
                                    framework::Milliseconds interval)
{
    m_nextDue[rank] = place + interval;
    for (auto entry = m_nextDue.upper_bound(rank); entry != m_nextDue.end(); ++entry) {
        entry->second = entry->second + interval;
    }
}

std::uint32_t ReturnSchedule::held(framework::PriorityRank rank, framework::TimePoint now) const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_expected.begin(), m_expected.end(), [&](const Expected &expected) {
            return expected.rank <= rank && expected.isDue(now, m_limits.holdTime);
        }));
}

} // namespace lavendertally::admission
