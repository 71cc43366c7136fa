#include "proxy/internal/promptguard.h"

#include "framework/hash.h"
#include "framework/iclock.h"
#include "framework/ilogger.h"
#include "membership/types/backendserverentry.h"
#include "proxy/ibackendcall.h"
#include "proxy/ibackendclient.h"
#include "proxy/types/clientrequest.h"
#include "proxy/types/proxycontext.h"
#include "quarantine/ipromptwatch.h"
#include "quarantine/quarantinemodule.h"
#include "quarantine/types/answerbeginning.h"
#include "routing/ibackendserverselector.h"

#include <string>
#include <utility>

namespace lavendertally::proxy {

namespace {

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
    : m_context(context), m_request(request),
      m_watch(quarantine::QuarantineModule::makePromptWatch(
          context.quarantine, context.clock, context.scheduler, request.sharedPromptParts))
{ }

PromptGuard::~PromptGuard() = default;

std::optional<Refusal> PromptGuard::check() const
{
    if (m_answerBegan) {
        return std::nullopt;
    }
    const auto obstacle = m_watch->obstacle();
    if (!obstacle) {
        return std::nullopt;
    }
    if (obstacle->standing == quarantine::PartStanding::Blamed) {
        return Refusal{
            RefusalKind::NotRun, obstacle->retryAfter, "prompt part crashes backend servers",
            "A part of this prompt has crashed several servers. The request has not run; "
            "repeating it will not help before the time in Retry-After."};
    }
    return Refusal{RefusalKind::NotRun, obstacle->retryAfter, "suspected prompt part is on trial",
                   "A server crashed on a part of this prompt, and another request is finding out "
                   "whether the part is the cause. The request has not run and may be repeated."};
}

void PromptGuard::attemptSent(const membership::BackendServerEntry &server)
{
    m_server = std::make_unique<membership::BackendServerEntry>(server);
    m_attemptSent = m_context.clock.now();
    m_events = 0;
    m_watch->attemptSent();
}

void PromptGuard::eventReceived()
{
    if (++m_events == quarantine::TextPartsOfSurvivor) {
        m_answerBegan = true;
    }
    m_watch->textReceived();
}

void PromptGuard::answerCompleted()
{
    m_answerBegan = true;
    m_watch->answerCompleted();
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
    // A server that is leaving ends on purpose.
    if (result == http::ProbeResult::NotListening && m_context.selector.isReady(m_server->id)) {
        m_watch->serverCrashed(nextCrashOf(*m_server));
    }
}

void PromptGuard::attemptEnded()
{
    m_watch->attemptEnded();
}

bool PromptGuard::isSuspected() const
{
    return !m_answerBegan && m_watch->isSuspected();
}

void PromptGuard::awaitExplanation(const std::function<void(bool)> &explained)
{
    m_watch->awaitExplanation(explained);
}

void PromptGuard::cancel()
{
    m_probe.reset();
    m_watch->attemptEnded();
    m_watch->cancelWaiting();
}

} // namespace lavendertally::proxy
