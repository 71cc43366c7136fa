#include "proxy/internal/promptguard.h"

#include "framework/hash.h"
#include "framework/iclock.h"
#include "framework/ilogger.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "membership/types/backendserverentry.h"
#include "proxy/ibackendcall.h"
#include "proxy/ibackendclient.h"
#include "proxy/types/clientrequest.h"
#include "proxy/types/proxycontext.h"
#include "quarantine/ipromptquarantine.h"

#include <string>
#include <utility>

namespace lavendertally::proxy {

namespace {

/// A backend server that crashes on a prompt may still send the first event of the answer.
constexpr std::uint32_t EventsOfSurvivor = 2;

/// How long a request waits for other daemons' evidence, and how often it looks.
constexpr framework::Milliseconds ExplanationTime{250};
constexpr framework::Milliseconds ExplanationCheckInterval{50};

framework::CrashId nextCrashOf(const membership::BackendServerEntry &server)
{
    return framework::CrashId(framework::stableHash(server.id.value() + '/'
                                                    + std::to_string(server.incarnation.value())));
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

PromptGuard::PromptGuard(const ProxyContext &context, const ClientRequest &request)
    : m_context(context), m_request(request)
{ }

PromptGuard::~PromptGuard()
{
    cancel();
}

std::optional<Refusal> PromptGuard::check() const
{
    if (m_answerBegan) {
        return std::nullopt;
    }
    const quarantine::PartAssessment assessment =
        m_context.quarantine.assess(m_request.sharedPromptParts, m_context.clock.now());
    if (assessment.standing == quarantine::PartStanding::Blamed) {
        return Refusal{
            RefusalKind::NotRun, assessment.retryAfter, "prompt part crashes backend servers",
            "A part of this prompt has crashed several servers. The request has not run; "
            "it is refused until the time in Retry-After, also elsewhere."};
    }
    if (assessment.standing == quarantine::PartStanding::Suspected && assessment.isOnTrial) {
        return Refusal{
            RefusalKind::NotRun, assessment.retryAfter, "suspected prompt part is on trial",
            "A server crashed on a part of this prompt, and another request is finding out "
            "whether the part is the cause. The request has not run and may be repeated."};
    }
    return std::nullopt;
}

void PromptGuard::attemptSent(const membership::BackendServerEntry &server)
{
    const framework::TimePoint now = m_context.clock.now();
    m_server = std::make_unique<membership::BackendServerEntry>(server);
    m_attemptSent = now;
    m_events = 0;
    const quarantine::PartAssessment assessment =
        m_context.quarantine.assess(m_request.sharedPromptParts, now);
    if (assessment.standing == quarantine::PartStanding::Suspected) {
        m_trial = assessment.part;
        m_context.quarantine.beginTrial(assessment.part);
    }
}

void PromptGuard::eventReceived()
{
    if (++m_events == EventsOfSurvivor) {
        answerCompleted();
    }
}

void PromptGuard::answerCompleted()
{
    if (m_answerBegan) {
        return;
    }
    m_answerBegan = true;
    m_context.quarantine.answerBegan(m_request.sharedPromptParts, m_context.clock.now());
    attemptEnded();
}

void PromptGuard::examineLoss(std::function<void()> examined)
{
    if (m_answerBegan || m_request.sharedPromptParts.empty()) {
        examined();
        return;
    }
    m_probe = m_context.backends.probe(
        *m_server, [this, examined = std::move(examined)](http::ProbeResult result) {
            // Resetting the probe may destroy this function.
            const auto next = examined;
            PromptGuard &self = *this;
            self.m_probe.reset();
            self.recordProbe(result);
            next();
        });
}

void PromptGuard::recordProbe(http::ProbeResult result)
{
    const framework::TimePoint now = m_context.clock.now();
    std::string parts;
    for (const framework::PromptPartId part : m_request.sharedPromptParts) {
        parts += (parts.empty() ? "" : " ") + std::to_string(part.value());
    }
    m_context.logger.info("attempt lost before its answer began",
                          {{"request", m_request.id.value()},
                           {"backend_server", m_server->id.value()},
                           {"process", nameOf(result)},
                           {"prompt_parts", parts},
                           {"attempt_ms", std::to_string((now - m_attemptSent).value())}});
    if (result == http::ProbeResult::NotListening) {
        m_context.quarantine.serverCrashed(m_request.sharedPromptParts, nextCrashOf(*m_server),
                                           m_attemptSent, now);
    }
}

void PromptGuard::cancel()
{
    m_probe.reset();
    m_timer.reset();
    attemptEnded();
}

void PromptGuard::attemptEnded()
{
    if (const auto part = std::exchange(m_trial, std::nullopt)) {
        m_context.quarantine.endTrial(*part);
    }
}

bool PromptGuard::isSuspected() const
{
    const quarantine::PartAssessment assessment =
        m_context.quarantine.assess(m_request.sharedPromptParts, m_context.clock.now());
    return !m_answerBegan && assessment.standing != quarantine::PartStanding::Clear;
}

void PromptGuard::awaitExplanation(std::function<void(bool)> explained)
{
    checkExplanation(m_context.clock.now() + ExplanationTime, explained);
}

void PromptGuard::checkExplanation(framework::TimePoint until,
                                   const std::function<void(bool)> &explained)
{
    m_timer = m_context.scheduler.callAfter(ExplanationCheckInterval, [this, until, explained] {
        const auto next = explained;
        const bool isClear = !isSuspected();
        if (isClear || m_context.clock.now() >= until) {
            next(isClear);
            return;
        }
        checkExplanation(until, next);
    });
}

} // namespace lavendertally::proxy
