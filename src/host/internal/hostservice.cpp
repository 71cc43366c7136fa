#include "host/internal/hostservice.h"

#include "accounting/icostledger.h"
#include "accounting/types/stageattempt.h"
#include "admission/iadmissioncontroller.h"
#include "backends/ibackendserver.h"
#include "backends/ibackendserverfactory.h"
#include "backends/types/backendresult.h"
#include "configuration/iconfigurationstore.h"
#include "configuration/types/configurationview.h"
#include "framework/hash.h"
#include "framework/iclock.h"
#include "framework/ilogger.h"
#include "framework/imetrics.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "host/ientrylistener.h"
#include "host/internal/hostcall.h"
#include "membership/iadmissiongate.h"
#include "protocol/refusalreasonname.h"
#include "transport/istageresponder.h"

namespace lavendertally::host {

namespace {

constexpr framework::Milliseconds HealthInterval{500};
constexpr framework::Milliseconds HealthTimeout{400};

accounting::Usage usage(admission::Completion completion, bool late)
{
    switch (completion) {
    case admission::Completion::Succeeded:
        return late ? accounting::Usage::Late : accounting::Usage::Used;
    case admission::Completion::Failed:
        return accounting::Usage::Failed;
    case admission::Completion::Cancelled:
        return accounting::Usage::Cancelled;
    }
    return accounting::Usage::Failed;
}

const char *nameOf(http::ProbeResult result)
{
    switch (result) {
    case http::ProbeResult::Listening:
        return "still listens";
    case http::ProbeResult::NotListening:
        return "crashed";
    case http::ProbeResult::Silent:
        return "silent";
    }
    return "unknown";
}

} // namespace

HostService::HostService(const HostServiceContext &context) : m_context(context)
{
    refresh();
    m_healthTimer =
        m_context.scheduler.callAfter(framework::Milliseconds(0), [this] { checkHealth(); });
}

HostService::~HostService() = default;

std::function<void()> HostService::handle(protocol::StageRequest request,
                                          std::shared_ptr<transport::IStageResponder> responder)
{
    m_context.entryListener.onEntryRevision(request.sender, request.revision);
    const admission::WorkKey key{request.sender, request.attempt};
    const protocol::RefusalReason reason = refusalReason(request);
    const framework::TimePoint deadline = m_context.clock.now() + request.budget;
    auto call =
        std::make_unique<HostCall>(key, std::move(request), deadline, std::move(responder), *this);
    if (reason != protocol::RefusalReason::None) {
        refuse(*call, reason, {});
        return [] {};
    }
    admit(std::move(call));
    return [this, key] { cancel(key); };
}

protocol::RefusalReason HostService::refusalReason(const protocol::StageRequest &request) const
{
    const protocol::RefusalReason gateRefusal = m_context.gate.refusal();
    if (gateRefusal != protocol::RefusalReason::None) {
        return gateRefusal;
    }
    if (m_backend == nullptr) {
        return protocol::RefusalReason::NotReady;
    }
    if (request.service != m_context.service) {
        return protocol::RefusalReason::UnknownService;
    }
    if (m_calls.contains({request.sender, request.attempt})) {
        return protocol::RefusalReason::InvalidRequest;
    }
    return protocol::RefusalReason::None;
}

void HostService::admit(std::unique_ptr<HostCall> call)
{
    const protocol::StageRequest &request = call->request();
    const framework::TimePoint now = m_context.clock.now();
    admission::WorkItem item;
    item.key = call->key();
    item.team = request.team;
    item.pipeline = request.pipeline;
    item.priority = request.priority;
    item.share = request.share;
    item.deadline = now + request.budget;
    m_calls.emplace(item.key, std::move(call));
    applyDecision(m_context.admission.offer(item, now));
    applyDueDecisions();
}

void HostService::applyDecision(const admission::AdmissionDecision &decision)
{
    const auto found = m_calls.find(decision.key);
    if (found == m_calls.end()) {
        return;
    }
    switch (decision.verdict) {
    case admission::AdmissionVerdict::Wait:
        return;
    case admission::AdmissionVerdict::Run:
        found->second->run(*m_backend, m_context.clock.now());
        return;
    case admission::AdmissionVerdict::Refuse: {
        const std::unique_ptr<HostCall> call = std::move(found->second);
        m_calls.erase(found);
        refuse(*call, decision.reason, {});
        return;
    }
    }
}

void HostService::applyDueDecisions()
{
    const framework::TimePoint now = m_context.clock.now();
    for (const admission::AdmissionDecision &decision : m_context.admission.takeDecisions(now)) {
        applyDecision(decision);
    }
    const framework::TimePoint wake = m_context.admission.nextWake();
    if (wake == framework::TimePoint::never()) {
        m_wakeTimer.reset();
        return;
    }
    m_wakeTimer = m_context.scheduler.callAfter(wake - now, [this] { applyDueDecisions(); });
}

void HostService::refuse(HostCall &call, protocol::RefusalReason reason, const std::string &detail)
{
    m_context.metrics.increment(
        "lavendertally_refusals_total",
        {{"service", m_context.service.value()}, {"reason", protocol::refusalReasonName(reason)}});
    protocol::StageResult result;
    result.status = protocol::StageStatus::NotRun;
    result.reason = reason;
    result.detail = detail;
    result.revision = m_context.configuration.current()->revision;
    result.load = m_context.admission.load(m_context.clock.now());
    call.reply(std::move(result));
}

void HostService::cancel(const admission::WorkKey &key)
{
    const auto found = m_calls.find(key);
    if (found == m_calls.end()) {
        return;
    }
    const framework::TimePoint now = m_context.clock.now();
    HostCall &call = *found->second;
    if (call.isRunning() && !call.request().idempotent) {
        // It may already have taken effect, so it is left to run to its end.
        call.entryLeft();
        return;
    }
    if (call.isRunning()) {
        m_context.admission.complete(key, admission::Completion::Cancelled, now - call.startedAt(),
                                     now);
    } else {
        m_context.admission.cancelWaiting(key, now);
    }
    m_context.metrics.increment("lavendertally_cancelled_calls_total", {});
    protocol::StageResult result;
    result.status = protocol::StageStatus::Unknown;
    result.reason = protocol::RefusalReason::Cancelled;
    call.reply(std::move(result));
    m_calls.erase(found);
    applyDueDecisions();
}

void HostService::onRateLimit(const HostCall &call, std::optional<framework::RequestRate> rateLimit)
{
    m_context.admission.observeRateLimit(rateLimit, call.startedAt(), m_context.clock.now());
}

void HostService::onCallDone(HostCall &call, const backends::BackendResult &backendResult)
{
    protocol::StageResult result;
    result.status = protocol::StageStatus::Done;
    result.tokens = backendResult.tokens;
    if (!call.request().stream) {
        result.payload = backendResult.payload;
    }
    finishCall(call, admission::Completion::Succeeded, std::move(result));
}

void HostService::onCallFailed(HostCall &call, backends::BackendError error,
                               const std::string &detail)
{
    protocol::StageResult result;
    result.status = error == backends::BackendError::NotRun ? protocol::StageStatus::NotRun
                                                            : protocol::StageStatus::Unknown;
    result.reason = error == backends::BackendError::NotRun ? protocol::RefusalReason::Full
                                                            : protocol::RefusalReason::None;
    result.detail = detail;
    m_context.logger.warning("call to the backend server failed; checking its health",
                             {{"request", call.request().request.value()},
                              {"stage", call.request().stage.value()},
                              {"detail", detail}});
    if (call.isHeldBack()) {
        // Its time has run out while the entry did not read; that says nothing of the server.
        finishCall(call, admission::Completion::Cancelled, std::move(result));
        return;
    }
    const bool isLostGeneration = result.status == protocol::StageStatus::Unknown
        && call.request().maxTokens > framework::TokenCount(0) && !call.answerBegan();
    if (isLostGeneration) {
        finishLostCall(call, result);
    } else {
        finishCall(call, admission::Completion::Failed, std::move(result));
    }
    checkHealth();
}

void HostService::finishLostCall(HostCall &call, const protocol::StageResult &result)
{
    const framework::CrashId crash = nextCrash();
    call.probe(*m_backend, [this, &call, crash, result](http::ProbeResult probe) {
        protocol::StageResult known = result;
        if (probe == http::ProbeResult::NotListening) {
            known.crash = crash;
        }
        m_context.logger.info("call lost before its answer began",
                              {{"request", call.request().request.value()},
                               {"stage", call.request().stage.value()},
                               {"process", nameOf(probe)}});
        finishCall(call, admission::Completion::Failed, std::move(known));
    });
}

framework::CrashId HostService::nextCrash() const
{
    return framework::CrashId(framework::stableHash(m_context.host.value() + '/'
                                                    + std::to_string(m_incarnation.value())));
}

void HostService::finishCall(HostCall &call, admission::Completion completion,
                             protocol::StageResult result)
{
    const framework::TimePoint now = m_context.clock.now();
    result.serviceTime = now - call.startedAt();
    result.cost = recordCost(call, completion, result.serviceTime);
    result.revision = m_context.configuration.current()->revision;
    m_context.admission.complete(call.key(), completion, result.serviceTime, now);
    result.load = m_context.admission.load(now);
    m_context.metrics.observe("lavendertally_service_ms", {{"service", m_context.service.value()}},
                              result.serviceTime);
    call.reply(std::move(result));
    const auto found = m_calls.find(call.key());
    m_finishedCalls.push_back(std::move(found->second));
    m_calls.erase(found);
    m_finishedCallsTimer = m_context.scheduler.callAfter(framework::Milliseconds(0),
                                                         [this] { m_finishedCalls.clear(); });
    applyDueDecisions();
}

framework::MicroCost HostService::recordCost(const HostCall &call, admission::Completion completion,
                                             framework::Milliseconds serviceTime)
{
    const protocol::StageRequest &request = call.request();
    accounting::StageAttempt attempt;
    attempt.pipeline = request.pipeline;
    attempt.stage = request.stage;
    attempt.team = request.team;
    attempt.service = m_context.service;
    attempt.serviceTime = serviceTime;
    attempt.costPerHour = m_service->costPerHour;
    attempt.concurrency = m_service->concurrency;
    attempt.usage = usage(completion, m_context.clock.now() > call.deadline());
    return m_context.costs.record(attempt);
}

void HostService::refresh()
{
    const auto view = m_context.configuration.current();
    m_context.gate.setView(*view);
    const auto service = view->configuration.services.find(m_context.service);
    if (service != view->configuration.services.end()) {
        applyService(service->second);
    }
    m_context.admission.close(m_context.gate.refusal(), m_context.clock.now());
    applyDueDecisions();
}

void HostService::applyService(const configuration::Service &service)
{
    if (m_service == service) {
        return;
    }
    const bool backendChanged =
        !m_service || m_service->kind != service.kind || m_service->model != service.model;
    m_service = service;
    if (backendChanged) {
        m_backend = m_context.backends.makeBackendServer(service.kind, service.model);
    }
    m_context.admission.setLimits(
        {service.concurrency, service.coldConcurrency, service.queueLength}, m_context.clock.now());
    m_context.logger.info("service settings applied", {{"service", service.id.value()}});
}

void HostService::checkHealth()
{
    m_healthTimer = m_context.scheduler.callAfter(HealthInterval, [this] { checkHealth(); });
    if (m_backend == nullptr) {
        return;
    }
    m_backend->checkHealth(HealthTimeout, [this](std::optional<admission::BackendHealth> health) {
        onHealth(health);
    });
}

void HostService::onHealth(const std::optional<admission::BackendHealth> &health)
{
    const framework::TimePoint now = m_context.clock.now();
    if (!health) {
        m_context.admission.observeHealth({m_incarnation, false, true}, now);
    } else {
        m_incarnation = health->incarnation;
        m_context.admission.observeHealth(*health, now);
    }
    applyDueDecisions();
}

} // namespace lavendertally::host
