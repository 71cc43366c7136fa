#include "admission/internal/serviceplaces.h"

#include <algorithm>
#include <bit>
#include <string>
#include <utility>

namespace lavendertally::admission {

using framework::Milliseconds;
using framework::TimePoint;

namespace {

/// An estimate of service time is outdated after its own length plus this without a sample.
constexpr Milliseconds EstimateLifetime{2000};
/// Part of the expected wait that is certain: a request that waits already is refused by this only,
/// as the estimate varies and its time would be lost.
constexpr std::int64_t CertainPart = 2;
/// One of this many places is held for callers that return: they have waited as well as the queue,
/// but those that never come must not hold up the service.
constexpr std::uint32_t ReturnPart = 2;

/// Requests of one route differ widely in size, so each power of two of sizes has its own estimate;
/// otherwise the largest would be let in too late and the smallest refused too early.
framework::PipelineId sizeClass(const PlaceRequest &request)
{
    const auto size = static_cast<std::uint64_t>(std::max<std::int64_t>(0, request.size.value()));
    return framework::PipelineId(request.route.value() + '/'
                                 + std::to_string(std::bit_width(size)));
}

PlaceDecision makeDecision(const WorkKey &key, AdmissionVerdict verdict)
{
    PlaceDecision decision;
    decision.key = key;
    decision.verdict = verdict;
    return decision;
}

QueuePrecedence precedenceOf(const PlaceRequest &request, ReturnTiming timing)
{
    if (request.hasInvestedWork) {
        return QueuePrecedence::Invested;
    }
    switch (timing) {
    case ReturnTiming::OnTime:
        return QueuePrecedence::Returned;
    case ReturnTiming::Early:
        return QueuePrecedence::Early;
    case ReturnTiming::None:
    case ReturnTiming::Late:
        break;
    }
    return QueuePrecedence::Fresh;
}

/// The queue starts first what is due first, so that in an overload most requests start just in
/// time; without a margin, those that take longer than the mean would be late.
Milliseconds withMargin(Milliseconds serviceTime)
{
    return serviceTime + Milliseconds(serviceTime.value() / 4);
}

} // namespace

ServicePlaces::ServicePlaces(const framework::ServiceId &service, const IServiceCapacity &capacity,
                             framework::IRandom &random, const PlaceLimits &limits)
    : m_limits(limits), m_load(service, capacity, random, limits), m_serviceTimes(EstimateLifetime),
      m_returns(random, limits), m_queue(QueuePolicy())
{ }

PlaceDecision ServicePlaces::offer(const PlaceRequest &request, TimePoint now)
{
    PlaceDecision decision = makeDecision(request.key, AdmissionVerdict::Run);
    if (m_queue.isEmpty() && m_returns.isIdle() && m_load.hasPlace(0, now)) {
        return decision;
    }
    const ReturnSchedule::Arrival arrival = m_returns.arrive(request, now);
    if (!arrival.isRepeated) {
        m_demand.add(sizeClass(request), m_serviceTimes.expected(sizeClass(request), now));
    }
    if (!m_queue.isEmpty()
        || !hasPlace(request.rank, precedenceOf(request, arrival.timing), 0, now)) {
        decision = enqueue(request, waitingItem(request, arrival.timing, now), now);
    }
    decision.timing = arrival.timing;
    return decision;
}

WaitingItem ServicePlaces::waitingItem(const PlaceRequest &request, ReturnTiming timing,
                                       TimePoint now) const
{
    WaitingItem item;
    item.work.key = request.key;
    item.work.team = request.team;
    item.work.share = request.share;
    item.work.deadline = request.deadline;
    item.work.pipeline = sizeClass(request);
    item.rank = request.rank;
    item.cost = m_serviceTimes.expected(item.work.pipeline, now);
    item.latestStart = request.deadline - withMargin(item.cost);
    item.precedence = precedenceOf(request, timing);
    item.pipelineShare = m_demand.percentOf(item.work.pipeline);
    return item;
}

PlaceDecision ServicePlaces::enqueue(const PlaceRequest &request, const WaitingItem &item,
                                     TimePoint now)
{
    if (now + expectedWaitOf(item) > item.latestStart) {
        return refuse(request, PlaceRefusal::WouldBeLate, now);
    }
    m_queue.add(item);
    m_waiting.emplace(request.key, request);
    if (m_queue.size() <= queueCapacity()) {
        return makeDecision(request.key, AdmissionVerdict::Wait);
    }
    const WorkKey victim = m_queue.shedCandidate(queueCapacity());
    m_queue.remove(victim);
    const PlaceRequest refused = std::move(m_waiting.extract(victim).mapped());
    if (victim == request.key) {
        return refuse(request, PlaceRefusal::QueueFull, now);
    }
    m_deferred.push_back(refuse(refused, PlaceRefusal::GaveWay, now));
    return makeDecision(request.key, AdmissionVerdict::Wait);
}

PlaceDecision ServicePlaces::refuse(const PlaceRequest &request, PlaceRefusal cause, TimePoint now)
{
    PlaceDecision decision = makeDecision(request.key, AdmissionVerdict::Refuse);
    decision.refusal = cause;
    decision.retryAfter = returnTime(request, Milliseconds(0), now);
    return decision;
}

Milliseconds ServicePlaces::returnTime(const PlaceRequest &request, Milliseconds wait,
                                       TimePoint now)
{
    // Returns get a part of the places that become free, and the queue the others.
    const Milliseconds interval(m_serviceTimes.overall().value() * ReturnPart
                                / m_load.expectedCalls());
    return m_returns.promise(request, std::max(wait, interval), interval,
                             withMargin(m_serviceTimes.expected(sizeClass(request), now)), now);
}

bool ServicePlaces::hasPlace(framework::PriorityRank rank, QueuePrecedence precedence,
                             std::uint32_t given, TimePoint now)
{
    std::uint32_t held = 0;
    if (precedence >= QueuePrecedence::Fresh && !m_returns.isIdle()) {
        held = std::min(m_returns.held(rank, now), m_load.expectedCalls() / ReturnPart);
    }
    return m_load.hasPlace(held + given, now);
}

void ServicePlaces::takeDecisions(TimePoint now, std::vector<PlaceDecision> &decisions)
{
    decisions.insert(decisions.end(), m_deferred.begin(), m_deferred.end());
    m_deferred.clear();
    for (const WorkKey &key : m_queue.removeExpired(now)) {
        const PlaceRequest request = std::move(m_waiting.extract(key).mapped());
        decisions.push_back(refuse(request, PlaceRefusal::WaitedTooLong, now));
    }
    std::uint32_t given = 0;
    while (const auto key = m_queue.front(SlotKind::Any)) {
        const PlaceRequest &request = m_waiting.at(*key);
        if (!hasPlace(request.rank, m_queue.find(*key).precedence, given, now)) {
            break;
        }
        ++given;
        m_queue.start(*key);
        m_waiting.erase(*key);
        decisions.push_back(makeDecision(*key, AdmissionVerdict::Run));
    }
    refuseHopeless(now, decisions);
}

void ServicePlaces::refuseHopeless(TimePoint now, std::vector<PlaceDecision> &decisions)
{
    while (!m_queue.isEmpty()) {
        const WorkKey key = m_queue.shedCandidate(queueCapacity());
        const WaitingItem &item = m_queue.find(key);
        const Milliseconds wait = expectedWaitOf(item);
        if (now + Milliseconds(wait.value() / CertainPart) <= item.latestStart) {
            return;
        }
        m_queue.remove(key);
        const PlaceRequest request = std::move(m_waiting.extract(key).mapped());
        decisions.push_back(refuse(request, PlaceRefusal::WouldBeLate, now));
    }
}

ReturnTiming ServicePlaces::noteArrival(const PlaceRequest &request, TimePoint now)
{
    return m_returns.isIdle() ? ReturnTiming::None : m_returns.arrive(request, now).timing;
}

void ServicePlaces::cancelWaiting(const WorkKey &key)
{
    m_queue.remove(key);
    m_waiting.erase(key);
}

void ServicePlaces::answered(const PlaceRequest &request, Milliseconds serviceTime, TimePoint now)
{
    m_serviceTimes.observe(sizeClass(request), serviceTime, now);
}

std::size_t ServicePlaces::queueCapacity() const
{
    const std::size_t wanted = std::size_t{m_limits.queuePerPlace} * m_load.expectedCalls();
    return std::clamp(wanted, m_limits.minQueue, m_limits.maxQueue);
}

/// \return expected time until there is a place behind \p ahead waiting requests
Milliseconds ServicePlaces::expectedWait(std::size_t ahead) const
{
    const auto calls = static_cast<std::int64_t>(m_load.expectedCalls());
    const auto before = static_cast<std::int64_t>(ahead) + 1;
    return Milliseconds(m_serviceTimes.overall().value() * before / calls);
}

/// The largest of a kind start as their share of the work allows, not one for one with the others.
Milliseconds ServicePlaces::expectedWaitOf(const WaitingItem &item) const
{
    constexpr std::int64_t Percent = 100;
    const auto calls = static_cast<std::int64_t>(m_load.expectedCalls());
    const auto before = static_cast<std::int64_t>(m_queue.itemsAheadInPipeline(item)) + 1;
    const Milliseconds inPipeline(item.cost.value() * before * Percent
                                  / (calls * item.pipelineShare));
    const Milliseconds ofAll = expectedWait(m_queue.size());
    return std::max(expectedWait(m_queue.itemsAhead(item)), std::min(inPipeline, ofAll));
}

} // namespace lavendertally::admission
