#include "host/internal/hostcall.h"

#include "backends/ibackendcallhandle.h"
#include "backends/ibackendserver.h"
#include "backends/types/backendcall.h"
#include "framework/types/errorcontext.h"
#include "host/internal/icalllistener.h"
#include "protocol/types/stageresult.h"
#include "quarantine/types/answerbeginning.h"
#include "transport/istageresponder.h"

#include <utility>

namespace lavendertally::host {

namespace {

/// Extra time for the backend server beyond the deadline of the request, since a late response
/// still tells how the call ended.
constexpr framework::Milliseconds LateResponseGrace{500};

/// A process that has ended refuses connections at once.
constexpr framework::Milliseconds ProbeTimeout{200};

} // namespace

HostCall::HostCall(admission::WorkKey key, protocol::StageRequest request,
                   framework::TimePoint deadline,
                   std::shared_ptr<transport::IStageResponder> responder, ICallListener &listener)
    : m_key(std::move(key)), m_request(std::move(request)), m_deadline(deadline),
      m_responder(std::move(responder)), m_listener(listener)
{
    m_responder->onCaughtUp([this] { resume(); });
}

HostCall::~HostCall()
{
    if (m_responder) {
        m_responder->onCaughtUp(nullptr);
    }
}

void HostCall::run(backends::IBackendServer &server, framework::TimePoint now)
{
    m_running = true;
    m_startedAt = now;
    backends::BackendCall call;
    call.payload = m_request.payload;
    call.priority = m_request.priority;
    call.maxTokens = m_request.maxTokens;
    call.budget = m_deadline - now + LateResponseGrace;
    framework::leaf::try_handle_all(
        [&]() -> framework::Result<void> {
            BOOST_LEAF_ASSIGN(m_handle, server.call(call, *this));
            return {};
        },
        [this](backends::BackendError error, const framework::ErrorContext &context) {
            m_listener.onCallFailed(*this, error, context.message);
        },
        [this] {
            m_listener.onCallFailed(*this, backends::BackendError::NotRun,
                                    "payload cannot be used");
        });
}

void HostCall::probe(backends::IBackendServer &server,
                     std::function<void(http::ProbeResult)> callback)
{
    m_probe = server.probe(ProbeTimeout, std::move(callback));
}

bool HostCall::answerBegan() const
{
    return m_textParts >= quarantine::TextPartsOfSurvivor;
}

void HostCall::reply(protocol::StageResult result)
{
    result.attempt = m_request.attempt;
    result.chunks = m_chunks;
    const auto responder = std::exchange(m_responder, nullptr);
    responder->onCaughtUp(nullptr);
    responder->sendResult(result);
}

void HostCall::entryLeft()
{
    resume();
}

void HostCall::resume()
{
    if (std::exchange(m_heldBack, false)) {
        m_handle->resumeReading();
    }
}

void HostCall::onAnswerHead(std::optional<framework::RequestRate> rateLimit)
{
    m_listener.onRateLimit(*this, rateLimit);
}

void HostCall::onChunk(const std::string &text, framework::TokenCount tokens)
{
    ++m_textParts;
    if (!m_request.stream) {
        return;
    }
    m_responder->sendChunk({m_request.attempt, m_chunks, tokens, text});
    ++m_chunks;
    if (!m_heldBack && m_responder->isBehind()) {
        m_heldBack = true;
        m_handle->pauseReading();
    }
}

void HostCall::onDone(const backends::BackendResult &result)
{
    m_listener.onCallDone(*this, result);
}

void HostCall::onFailed(backends::BackendError error, const std::string &detail)
{
    m_listener.onCallFailed(*this, error, detail);
}

} // namespace lavendertally::host
