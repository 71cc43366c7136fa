#pragma once

#include "framework/frameworkmodule.h"
#include "framework/imetrics.h"
#include "framework/irandom.h"
#include "framework/testing/fakescheduler.h"
#include "framework/testing/recordinglogger.h"
#include "membership/testing/fakebackendservers.h"
#include "peers/idaemondirectory.h"
#include "proxy/ibackendcall.h"
#include "proxy/ibackendclient.h"
#include "proxy/ibackendresponseobserver.h"
#include "proxy/iproxyservice.h"
#include "proxy/iresponsewriter.h"
#include "proxy/proxymodule.h"
#include "proxy/types/backendrequest.h"
#include "proxy/types/proxycontext.h"
#include "proxy/types/refusal.h"
#include "proxy/types/responsehead.h"
#include "proxy/types/streamevent.h"
#include "quarantine/ipromptquarantine.h"
#include "quarantine/quarantinemodule.h"
#include "ratelimit/testing/testratelimits.h"
#include "retry/iretrypolicy.h"
#include "retry/retrymodule.h"
#include "routing/ibackendserverselector.h"
#include "routing/routingmodule.h"
#include "serving/testing/fakeservingstate.h"
#include "stages/istageservice.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lavendertally::proxy {

/// Response as the client has received it.
struct ReceivedResponse
{
    std::optional<RefusalKind> refusal;
    framework::Milliseconds retryAfter;
    int status = 0;
    std::string body;
    bool ended = false;
    bool aborted = false;
    /// Whether the client reads too slowly, as the writer reports it.
    bool isBehind = false;
    std::function<void()> caughtUp;
};

/// Records the response written to a client.
class RecordingResponseWriter final : public IResponseWriter
{
public:
    explicit RecordingResponseWriter(std::shared_ptr<ReceivedResponse> received)
        : m_received(std::move(received))
    { }

    void reply(const ResponseHead &head, std::string_view body) override
    {
        m_received->status = head.status;
        m_received->body = body;
        m_received->ended = true;
    }
    void startStream(const ResponseHead &head) override { m_received->status = head.status; }
    void sendPart(std::string_view text) override { m_received->body.append(text); }
    bool isBehind() const override { return m_received->isBehind; }
    void onCaughtUp(std::function<void()> callback) override
    {
        m_received->caughtUp = std::move(callback);
    }
    void endStream() override { m_received->ended = true; }
    void abort() override { m_received->aborted = true; }
    void refuse(const Refusal &refusal) override
    {
        m_received->refusal = refusal.kind;
        m_received->retryAfter = refusal.retryAfter;
    }

private:
    std::shared_ptr<ReceivedResponse> m_received;
};

/// Records the requests sent to backend servers; the test responds through their observers.
class FakeBackendClient final : public IBackendClient
{
public:
    struct Sent
    {
        BackendRequest request;
        IBackendResponseObserver *observer = nullptr;
        /// False once the call has been destroyed.
        std::shared_ptr<bool> live;
        /// Whether the call is paused.
        std::shared_ptr<bool> paused;
        /// Whether the backend server may have seen a part of the request.
        std::shared_ptr<bool> hasSent;
    };

    std::unique_ptr<IBackendCall> send(const BackendRequest &request,
                                       IBackendResponseObserver &observer) override
    {
        auto live = std::make_shared<bool>(true);
        auto paused = std::make_shared<bool>(false);
        auto hasSent = std::make_shared<bool>(true);
        m_sent.push_back({request, &observer, live, paused, hasSent});
        return std::make_unique<Call>(live, paused, hasSent);
    }

    std::unique_ptr<IBackendCall> probe(const membership::BackendServerEntry & /*server*/,
                                        std::function<void(http::ProbeResult)> callback) override
    {
        m_probes.push_back(std::move(callback));
        return std::make_unique<Call>(std::make_shared<bool>(true), std::make_shared<bool>(false),
                                      std::make_shared<bool>(true));
    }
    /// Ends the oldest probe.
    void endProbe(http::ProbeResult result)
    {
        const auto callback = m_probes.at(0);
        m_probes.erase(m_probes.begin());
        callback(result);
    }

    std::vector<Sent> m_sent;
    std::vector<std::function<void(http::ProbeResult)>> m_probes;

private:
    class Call final : public IBackendCall
    {
    public:
        Call(std::shared_ptr<bool> live, std::shared_ptr<bool> paused,
             std::shared_ptr<bool> hasSent)
            : m_live(std::move(live)), m_paused(std::move(paused)), m_hasSent(std::move(hasSent))
        { }
        ~Call() override { *m_live = false; }
        Call(const Call &) = delete;
        Call &operator=(const Call &) = delete;

        bool hasSent() const override { return *m_hasSent; }
        void pauseReading() override { *m_paused = true; }
        void resumeReading() override { *m_paused = false; }

    private:
        std::shared_ptr<bool> m_live;
        std::shared_ptr<bool> m_paused;
        std::shared_ptr<bool> m_hasSent;
    };
};

/// Records stage jobs; the test ends them.
class FakeStageService final : public stages::IStageService
{
public:
    void start(const protocol::StageJob &job,
               std::function<void(protocol::StageJobOutcome)> done) override
    {
        m_jobs.push_back(job);
        m_done[job.request] = std::move(done);
    }
    void cancel(const framework::RequestId &request) override
    {
        m_cancelled.push_back(request);
        m_done.erase(request);
    }
    void release(const std::vector<framework::StageResultId> &results) override
    {
        m_released.insert(m_released.end(), results.begin(), results.end());
    }
    void handOver() override { }
    void end(const char *request, protocol::StageJobStatus status,
             framework::Milliseconds retryAfter = {})
    {
        protocol::StageJobOutcome outcome;
        outcome.request = framework::RequestId(request);
        outcome.status = status;
        outcome.retryAfter = retryAfter;
        outcome.results = {
            {framework::StageResultId("1.2.3.4:5/x"), framework::AvailabilityZoneId("zb")}};
        const auto done = m_done.at(outcome.request);
        m_done.erase(outcome.request);
        done(outcome);
    }

    std::vector<protocol::StageJob> m_jobs;
    std::map<framework::RequestId, std::function<void(protocol::StageJobOutcome)>> m_done;
    std::vector<framework::RequestId> m_cancelled;
    std::vector<framework::StageResultId> m_released;
};

/// Directory without other daemons.
class EmptyDaemonDirectory final : public peers::IDaemonDirectory
{
public:
    const std::vector<peers::DaemonAddress> &ranking() const override { return m_ranking; }
    std::size_t limitSharerCount() const override { return 1; }
    void onChange(std::function<void()> /*callback*/) override { }

private:
    std::vector<peers::DaemonAddress> m_ranking;
};

/// Proxy service with routes of each kind and two backend servers.
class ProxyFixture : public testing::Test
{
protected:
    static constexpr std::uint64_t Seed = 11;

    ProxyFixture()
        : m_scheduler(m_clock), m_metrics(framework::FrameworkModule::makeMetrics()),
          m_random(framework::FrameworkModule::makeRandom(Seed)),
          m_selector(routing::RoutingModule::makeBackendServerSelector(
              m_servers, m_rateLimits.limits(), *m_random)),
          m_retries(retry::RetryModule::makeBudgetedRetryPolicy(*m_random)),
          m_quarantine(quarantine::QuarantineModule::makeQuarantine(m_logger, *m_metrics))
    {
        m_clock.set(framework::TimePoint(1000000));
        configure();
        m_serving.confirm(m_clock.now());
        addServer("w1");
        addServer("w2");
        m_service = ProxyModule::makeService(ProxyContext{framework::AvailabilityZoneId("za"),
                                                          m_clock,
                                                          m_scheduler,
                                                          m_logger,
                                                          *m_metrics,
                                                          *m_random,
                                                          m_serving,
                                                          m_servers,
                                                          m_directory,
                                                          *m_selector,
                                                          *m_retries,
                                                          *m_quarantine,
                                                          m_stages,
                                                          m_backends,
                                                          {}});
    }

    static serving::Route route(const char *id, serving::RouteKind kind, std::uint32_t attempts)
    {
        serving::Route result;
        result.id = framework::RouteId(id);
        result.hostName = "h";
        result.prefix = std::string("/") + id + "/";
        result.kind = kind;
        result.timeout = framework::Milliseconds(1000);
        result.latencyObjective = framework::Milliseconds(300);
        result.split = {{framework::ServiceId("s"), 1}};
        result.maxAttempts = attempts;
        return result;
    }
    void configure()
    {
        auto resumable = route("resumable", serving::RouteKind::Streaming, 2);
        resumable.resumable = true;
        auto staged = route("staged", serving::RouteKind::Streaming, 1);
        staged.stages = {{framework::ServiceId("pool"), {}, framework::Bytes(1000)}};
        auto stagedResumable = staged;
        stagedResumable.id = framework::RouteId("stagedresumable");
        stagedResumable.prefix = "/stagedresumable/";
        stagedResumable.resumable = true;
        stagedResumable.maxAttempts = 2;
        auto open = route("open", serving::RouteKind::Idempotent, 1);
        open.isPublic = true;
        serving::TeamEntry team;
        team.id = framework::TeamId("members");
        team.keys = {framework::ApiKey("key")};
        m_serving.set({route("read", serving::RouteKind::Idempotent, 2),
                       route("book", serving::RouteKind::NonIdempotent, 2),
                       route("stream", serving::RouteKind::Streaming, 2), resumable, staged,
                       stagedResumable, open},
                      {}, std::vector{team});
    }
    void addServer(const char *id)
    {
        membership::BackendServerEntry entry;
        entry.id = framework::BackendServerId(id);
        entry.service = framework::ServiceId("s");
        entry.zone = framework::AvailabilityZoneId("za");
        entry.slots = 4;
        m_servers.add(entry);
    }

    ClientRequest request(const char *route) const
    {
        ClientRequest result;
        result.id = framework::RequestId("r1");
        result.method = "POST";
        result.path = std::string("/") + route + "/x";
        result.target = result.path;
        result.hostName = "h";
        result.key = framework::ApiKey("key");
        result.timeLeft = framework::Milliseconds(800);
        return result;
    }
    std::shared_ptr<ReceivedResponse> start(ClientRequest request)
    {
        auto received = std::make_shared<ReceivedResponse>();
        m_ticket = m_service->start(std::move(request),
                                    std::make_unique<RecordingResponseWriter>(received));
        return received;
    }
    std::shared_ptr<ReceivedResponse> start(const char *route) { return start(request(route)); }
    void advance(std::int64_t milliseconds)
    {
        m_scheduler.advance(framework::Milliseconds(milliseconds));
    }

    FakeBackendClient::Sent &sent(std::size_t index = 0) { return m_backends.m_sent.at(index); }
    static ResponseHead head(int status, bool isStream = false)
    {
        ResponseHead result;
        result.status = status;
        result.isSigned = true;
        result.isEventStream = isStream;
        return result;
    }
    void respond(std::size_t index, const ResponseHead &head, const char *body = "ok")
    {
        IBackendResponseObserver &observer = *sent(index).observer;
        observer.onHead(head);
        observer.onBody(body);
        observer.onEnd(BackendCallEnd::Complete);
    }
    static ResponseHead notExecuted()
    {
        ResponseHead result = head(503);
        result.notExecuted = true;
        return result;
    }
    void event(std::size_t index, std::uint64_t id)
    {
        StreamEvent event;
        event.id = framework::StreamEventId(id);
        event.text = std::to_string(id) + ";";
        sent(index).observer->onEvent(event);
    }

    framework::FakeClock m_clock;
    framework::FakeScheduler m_scheduler;
    framework::RecordingLogger m_logger;
    std::unique_ptr<framework::IMetrics> m_metrics;
    std::unique_ptr<framework::IRandom> m_random;
    serving::FakeServingState m_serving;
    membership::FakeBackendServers m_servers;
    EmptyDaemonDirectory m_directory;
    ratelimit::TestRateLimits m_rateLimits;
    std::unique_ptr<routing::IBackendServerSelector> m_selector;
    std::unique_ptr<retry::IRetryPolicy> m_retries;
    std::unique_ptr<quarantine::IPromptQuarantine> m_quarantine;
    FakeStageService m_stages;
    FakeBackendClient m_backends;
    std::unique_ptr<IProxyService> m_service;
    IProxyService::Ticket m_ticket = 0;
};

} // namespace lavendertally::proxy
