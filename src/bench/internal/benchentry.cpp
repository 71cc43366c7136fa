#include "bench/internal/benchentry.h"

#include "retry/iretrypolicy.h"
#include "retry/istagebudget.h"

#include <utility>

namespace lavendertally::bench {

namespace {

using framework::Milliseconds;

constexpr Milliseconds ProbeInterval{100};
constexpr Milliseconds InZoneDelay{1};
constexpr Milliseconds CrossZoneDelay{2};
constexpr Milliseconds NoDeadline{3600000};

} // namespace

struct BenchEntry::Request
{
    const Arrival *arrival = nullptr;
    const configuration::Pipeline *pipeline = nullptr;
    Outcome outcome;
    std::size_t stage = 0;
    framework::TimePoint stageStart;
    std::uint32_t attempts = 0;
    Milliseconds backoff;
    std::set<framework::HostId> excluded;
    FakeBackend *backend = nullptr;
    framework::AttemptId attempt;
    bool ended = false;
};

BenchEntry::BenchEntry(Timeline &timeline, const Site &site, framework::DaemonId id,
                       framework::AvailabilityZoneId zone, Backends &backends, Decisions decisions,
                       std::vector<Outcome> &outcomes)
    : m_timeline(timeline), m_site(site), m_id(std::move(id)), m_zone(std::move(zone)),
      m_backends(backends), m_decisions(std::move(decisions)), m_outcomes(outcomes)
{
    if (m_decisions.routing.probes) {
        probe();
    }
}

BenchEntry::~BenchEntry() = default;

void BenchEntry::serve(std::size_t index, const Arrival &arrival)
{
    const auto request = std::make_shared<Request>();
    request->arrival = &arrival;
    request->pipeline = &m_site.pipeline(m_site.workloads[arrival.workload]);
    request->outcome.arrival = index;
    request->outcome.arrived = arrival.time;
    m_timeline.after(m_site.callerDelay, [this, request] { startStage(request); });
    if (m_decisions.cancelsLate) {
        m_timeline.at(arrival.time + request->pipeline->deadline,
                      [this, request] { deadlinePassed(request); });
    }
}

void BenchEntry::startStage(const RequestPointer &request)
{
    request->stageStart = m_timeline.now();
    request->attempts = 0;
    request->backoff = Milliseconds(0);
    request->excluded.clear();
    m_decisions.retry->recordFirstAttempt(stage(*request).service, m_timeline.now());
    ++m_freshCalls;
    attempt(request);
}

void BenchEntry::attempt(const RequestPointer &request)
{
    if (request->ended) {
        return;
    }
    ++request->attempts;
    const Milliseconds budget = m_decisions.budget->budgetFor(
        *request->pipeline, request->stage, remaining(*request), m_timeline.now());
    if (m_decisions.cancelsLate && budget <= Milliseconds(0)) {
        finish(request, Ending::Refused);
        return;
    }
    routing::RoutingQuery query;
    query.service = stage(*request).service;
    query.localZone = m_zone;
    const bool generates = query.service == framework::ServiceId("generate");
    query.prefixHash = generates ? request->arrival->prefixHash : 0;
    query.excluded = request->excluded;
    query.budget = budget;
    const auto host = m_decisions.routing.selector->selectHost(query, m_timeline.now());
    if (!host) {
        request->excluded.clear();
        attemptFailed(request, retry::FailureKind::NotRun);
        return;
    }
    send(request, *m_backends.at(host->id), budget);
}

void BenchEntry::send(const RequestPointer &request, FakeBackend &backend, Milliseconds budget)
{
    m_lastAttempt = m_lastAttempt.next();
    request->attempt = m_lastAttempt;
    request->backend = &backend;
    admission::WorkItem item;
    item.key = {.sender = m_id, .attempt = m_lastAttempt};
    item.team = request->arrival->team;
    item.pipeline = request->pipeline->id;
    item.priority = request->pipeline->priority;
    item.share = m_site.configuration.teams.at(item.team).share;
    item.deadline = m_timeline.now() + (m_decisions.cancelsLate ? budget : NoDeadline);
    m_decisions.routing.selector->callStarted(backend.host().id, m_timeline.now());
    const Milliseconds delay = delayTo(backend);
    const Milliseconds work = request->arrival->stageTimes[request->stage];
    m_timeline.after(delay, [this, request, &backend, item, work, delay] {
        backend.offer(item, work, [=, this, &backend](const BackendReply &reply) {
            m_timeline.after(delay, [=, this, &backend] {
                handleReply(request, backend, item.key.attempt, reply);
            });
        });
    });
}

void BenchEntry::handleReply(const RequestPointer &request, FakeBackend &backend,
                             framework::AttemptId id, const BackendReply &reply)
{
    const framework::HostId &host = backend.host().id;
    m_decisions.routing.selector->callEnded(host, m_timeline.now());
    m_decisions.routing.selector->observeLoad(host, reply.load, m_timeline.now());
    request->outcome.spent[stage(*request).service] += reply.serviceTime;
    if (reply.failure) {
        request->outcome.lost += reply.serviceTime;
    }
    if (request->ended) {
        const bool wasRun = !reply.failure || *reply.failure != retry::FailureKind::NotRun;
        request->outcome.ending = wasRun ? Ending::Late : Ending::Refused;
        m_outcomes.push_back(request->outcome);
        return;
    }
    if (request->attempt != id) {
        return;
    }
    request->backend = nullptr;
    if (!reply.failure) {
        stageDone(request);
        return;
    }
    request->excluded.insert(host);
    attemptFailed(request, *reply.failure);
}

void BenchEntry::stageDone(const RequestPointer &request)
{
    m_decisions.budget->observe(request->pipeline->id, stage(*request).id,
                                m_timeline.now() - request->stageStart, m_timeline.now());
    if (++request->stage < request->pipeline->stages.size()) {
        startStage(request);
        return;
    }
    const framework::TimePoint answered = m_timeline.now() + m_site.callerDelay;
    const bool late = answered > request->arrival->time + request->pipeline->deadline;
    finish(request, late ? Ending::Late : Ending::InTime);
}

void BenchEntry::attemptFailed(const RequestPointer &request, retry::FailureKind failure)
{
    retry::RetryQuery query;
    query.service = stage(*request).service;
    query.failure = failure;
    query.idempotent = stage(*request).idempotent;
    query.priority = request->pipeline->priority;
    query.attempts = request->attempts;
    query.previousBackoff = request->backoff;
    query.budget = remaining(*request);
    const retry::RetryDecision decision = m_decisions.retry->decide(query, m_timeline.now());
    if (!decision.retry) {
        const bool refused = failure == retry::FailureKind::NotRun;
        finish(request, refused ? Ending::Refused : Ending::Unknown);
        return;
    }
    ++m_retries;
    request->backoff = decision.backoff;
    m_timeline.after(std::max(decision.backoff, Milliseconds(1)),
                     [this, request] { attempt(request); });
}

void BenchEntry::deadlinePassed(const RequestPointer &request)
{
    if (request->ended) {
        return;
    }
    FakeBackend *const backend = request->backend;
    if (backend == nullptr) {
        finish(request, Ending::Refused);
        return;
    }
    request->ended = true;
    request->outcome.ending = Ending::Late;
    request->outcome.latency = m_timeline.now() - request->arrival->time;
    const admission::WorkKey key{.sender = m_id, .attempt = request->attempt};
    m_timeline.after(delayTo(*backend), [backend, key] { backend->cancel(key); });
}

void BenchEntry::finish(const RequestPointer &request, Ending ending)
{
    request->ended = true;
    request->outcome.ending = ending;
    request->outcome.latency = m_timeline.now() + m_site.callerDelay - request->arrival->time;
    m_outcomes.push_back(request->outcome);
}

void BenchEntry::probe()
{
    for (const auto &host : m_decisions.routing.probes->hostsToProbe(m_timeline.now())) {
        FakeBackend &backend = *m_backends.at(host.id);
        const Milliseconds delay = delayTo(backend);
        m_timeline.after(delay, [this, &backend, delay] {
            m_timeline.after(delay, [this, &backend, load = backend.load()] {
                m_decisions.routing.selector->observeLoad(backend.host().id, load,
                                                          m_timeline.now());
            });
        });
    }
    m_timeline.after(ProbeInterval, [this] { probe(); });
}

const configuration::Stage &BenchEntry::stage(const Request &request) const
{
    return request.pipeline->stages[request.stage];
}

Milliseconds BenchEntry::remaining(const Request &request) const
{
    const framework::TimePoint deadline = request.arrival->time + request.pipeline->deadline;
    return deadline - m_timeline.now() - m_site.callerDelay;
}

Milliseconds BenchEntry::delayTo(const FakeBackend &backend) const
{
    return backend.host().zone == m_zone ? InZoneDelay : CrossZoneDelay;
}

} // namespace lavendertally::bench
