#include "bench/internal/fakebackend.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lavendertally::bench {

namespace {

using framework::Milliseconds;

constexpr Milliseconds HealthInterval{200};
constexpr Milliseconds RestartTime{3000};
constexpr std::uint32_t ColdCompletions = 20;
constexpr std::int64_t ColdSlowness = 2;

} // namespace

FakeBackend::FakeBackend(Timeline &timeline, membership::HostEntry host,
                         const configuration::Service &service,
                         std::unique_ptr<admission::IAdmissionController> controller)
    : m_timeline(timeline), m_host(std::move(host)), m_coldConcurrency(service.coldConcurrency),
      m_controller(std::move(controller))
{
    pollHealth();
}

void FakeBackend::pollHealth()
{
    admission::BackendHealth health;
    health.incarnation = m_incarnation;
    health.ready = m_ready;
    health.cold = m_cold;
    m_controller->observeHealth(health, m_timeline.now());
    drain();
    m_timeline.after(HealthInterval, [this] { pollHealth(); });
}

void FakeBackend::offer(const admission::WorkItem &item, Milliseconds work, Reply reply)
{
    Call call;
    call.work = work;
    call.reply = std::move(reply);
    m_calls.emplace(item.key, std::move(call));
    apply(m_controller->offer(item, m_timeline.now()));
    drain();
}

void FakeBackend::cancel(const admission::WorkKey &key)
{
    const auto call = m_calls.find(key);
    if (call == m_calls.end()) {
        return;
    }
    if (call->second.started) {
        finish(key, admission::Completion::Cancelled);
    } else if (m_controller->cancelWaiting(key, m_timeline.now())) {
        answer(key, retry::FailureKind::NotRun, {});
    }
    drain();
}

void FakeBackend::restart()
{
    fallOver();
    --m_falls;
}

void FakeBackend::close(protocol::RefusalReason reason)
{
    m_controller->close(reason, m_timeline.now());
    drain();
}

void FakeBackend::apply(const admission::AdmissionDecision &decision)
{
    switch (decision.verdict) {
    case admission::AdmissionVerdict::Run:
        start(decision.key);
        break;
    case admission::AdmissionVerdict::Refuse:
        answer(decision.key, retry::FailureKind::NotRun, {});
        break;
    case admission::AdmissionVerdict::Wait:
        break;
    }
}

void FakeBackend::drain()
{
    while (true) {
        const auto decisions = m_controller->takeDecisions(m_timeline.now());
        if (decisions.empty()) {
            break;
        }
        for (const admission::AdmissionDecision &decision : decisions) {
            apply(decision);
        }
    }
    const framework::TimePoint wake = m_controller->nextWake();
    if (wake == framework::TimePoint::never()) {
        return;
    }
    const framework::TimePoint due = std::max(wake, m_timeline.now() + Milliseconds(1));
    if (due >= m_wake) {
        return;
    }
    m_wake = due;
    m_timeline.at(due, [this, due] {
        if (m_wake == due) {
            m_wake = framework::TimePoint::never();
        }
        drain();
    });
}

void FakeBackend::start(const admission::WorkKey &key)
{
    Call &call = m_calls.at(key);
    if (!m_ready) {
        m_controller->complete(key, admission::Completion::Failed, {}, m_timeline.now());
        answer(key, retry::FailureKind::NotRun, {});
        return;
    }
    call.started = true;
    call.startTime = m_timeline.now();
    call.run = ++m_nextRun;
    m_lastStart = m_timeline.now();
    if (++m_running > m_coldConcurrency && m_cold) {
        fallOver();
        return;
    }
    const std::int64_t factor = m_slowness * (m_cold ? ColdSlowness : 1);
    m_timeline.after(call.work * factor, [this, key, run = call.run] {
        const auto found = m_calls.find(key);
        if (found != m_calls.end() && found->second.run == run) {
            finish(key, admission::Completion::Succeeded);
            drain();
        }
    });
}

void FakeBackend::fallOver()
{
    ++m_falls;
    m_incarnation = m_incarnation.next();
    m_ready = false;
    m_cold = true;
    m_completedCold = 0;
    m_timeline.after(RestartTime, [this, incarnation = m_incarnation] {
        m_ready = m_ready || incarnation == m_incarnation;
    });
    std::vector<admission::WorkKey> lost;
    for (const auto &[key, call] : m_calls) {
        if (call.started) {
            lost.push_back(key);
        }
    }
    for (const admission::WorkKey &key : lost) {
        finish(key, admission::Completion::Failed);
    }
}

void FakeBackend::finish(const admission::WorkKey &key, admission::Completion completion)
{
    const Milliseconds serviceTime = m_timeline.now() - m_calls.at(key).startTime;
    --m_running;
    m_controller->complete(key, completion, serviceTime, m_timeline.now());
    const bool succeeded = completion == admission::Completion::Succeeded;
    if (succeeded && m_cold && ++m_completedCold >= ColdCompletions) {
        m_cold = false;
    }
    answer(key, succeeded ? std::nullopt : std::optional(retry::FailureKind::Unknown), serviceTime);
}

void FakeBackend::answer(const admission::WorkKey &key, std::optional<retry::FailureKind> failure,
                         Milliseconds serviceTime)
{
    const auto node = m_calls.extract(key);
    if (node.empty()) {
        return;
    }
    node.mapped().reply({.failure = failure, .serviceTime = serviceTime, .load = load()});
}

} // namespace lavendertally::bench
