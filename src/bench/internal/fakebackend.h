#pragma once

#include "admission/iadmissioncontroller.h"
#include "bench/internal/backendreply.h"
#include "bench/internal/timeline.h"
#include "configuration/types/service.h"
#include "membership/types/hostentry.h"
#include "retry/types/failurekind.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace lavendertally::bench {

/// Backend server with its host process: the real admission controller before a server that falls
/// over when it gets more in cold start than it can bear.
class FakeBackend
{
public:
    using Reply = std::function<void(const BackendReply &)>;

    FakeBackend(Timeline &timeline, membership::HostEntry host,
                const configuration::Service &service,
                std::unique_ptr<admission::IAdmissionController> controller);

    const membership::HostEntry &host() const { return m_host; }
    protocol::LoadReport load() const { return m_controller->load(m_timeline.now()); }

    /// \param work time that a warm server takes
    void offer(const admission::WorkItem &item, framework::Milliseconds work, Reply reply);
    void cancel(const admission::WorkKey &key);

    /// Loses what the server had and starts it cold.
    void restart();
    void setSlowness(std::int64_t factor) { m_slowness = factor; }
    void close(protocol::RefusalReason reason);

    std::size_t running() const { return m_running; }
    framework::TimePoint lastStart() const { return m_lastStart; }
    /// \return times that it got more in cold start than it can bear
    std::uint32_t fallCount() const { return m_falls; }
    bool isCold() const { return m_cold; }
    /// Makes it warm at once, as after long service.
    void warmUp() { m_cold = false; }

private:
    struct Call
    {
        framework::Milliseconds work;
        Reply reply;
        bool started = false;
        framework::TimePoint startTime;
        std::uint64_t run = 0;
    };

    void pollHealth();
    void apply(const admission::AdmissionDecision &decision);
    void drain();
    void start(const admission::WorkKey &key);
    void fallOver();
    void finish(const admission::WorkKey &key, admission::Completion completion);
    void answer(const admission::WorkKey &key, std::optional<retry::FailureKind> failure,
                framework::Milliseconds serviceTime);

    Timeline &m_timeline;
    membership::HostEntry m_host;
    std::uint32_t m_coldConcurrency;
    std::unique_ptr<admission::IAdmissionController> m_controller;
    std::map<admission::WorkKey, Call> m_calls;
    std::uint64_t m_nextRun = 0;
    std::size_t m_running = 0;
    std::int64_t m_slowness = 1;
    framework::Incarnation m_incarnation;
    bool m_ready = true;
    bool m_cold = true;
    std::uint32_t m_completedCold = 0;
    std::uint32_t m_falls = 0;
    framework::TimePoint m_lastStart;
    framework::TimePoint m_wake = framework::TimePoint::never();
};

} // namespace lavendertally::bench
