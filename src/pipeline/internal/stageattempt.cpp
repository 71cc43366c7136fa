#include "pipeline/internal/stageattempt.h"

#include "framework/iclock.h"
#include "framework/imetrics.h"
#include "pipeline/ihostlistener.h"
#include "pipeline/internal/istageattemptobserver.h"
#include "pipeline/types/pipelinecontext.h"
#include "protocol/types/stagerequest.h"
#include "routing/ihostselector.h"
#include "transport/istagecall.h"
#include "transport/istageclient.h"

#include <nlohmann/json.hpp>

namespace lavendertally::pipeline {

StageAttempt::StageAttempt(const PipelineContext &context, membership::HostEntry host,
                           const protocol::StageRequest &request, IStageAttemptObserver &observer)
    : m_context(context), m_host(std::move(host)), m_observer(observer),
      m_startedAt(context.clock.now()), m_assembler(request.attempt)
{
    m_context.selector.callStarted(m_host.id, m_startedAt);
    m_call = m_context.stages.send(m_host.http, request, *this);
}

StageAttempt::~StageAttempt()
{
    end();
}

void StageAttempt::end()
{
    if (!m_ended) {
        m_ended = true;
        m_context.selector.callEnded(m_host.id, m_context.clock.now());
    }
}

void StageAttempt::pauseReading()
{
    m_call->pauseReading();
}

void StageAttempt::resumeReading()
{
    m_call->resumeReading();
}

void StageAttempt::onChunk(const protocol::StageChunk &chunk)
{
    const std::uint64_t droppedBefore = m_assembler.droppedChunks();
    const std::string text = m_assembler.accept(chunk);
    if (m_assembler.droppedChunks() > droppedBefore) {
        m_context.metrics.increment("lavendertally_dropped_chunks_total", {});
    }
    if (!text.empty()) {
        m_observer.onAttemptText(text);
    }
}

void StageAttempt::onResult(const protocol::StageResult &result)
{
    end();
    const framework::TimePoint now = m_context.clock.now();
    const bool fromHost = result.load.limit > 0 || result.revision > framework::LogOffset(0);
    if (fromHost) {
        m_context.selector.observeLoad(m_host.id, result.load, now);
        m_context.hosts.onHostAnswer(m_host, result.reason, result.revision);
    } else {
        m_context.selector.observeFailure(m_host.id, now);
    }
    protocol::StageResult reported = result;
    if (result.status == protocol::StageStatus::Done && !m_assembler.isComplete(result)) {
        reported.status = protocol::StageStatus::Unknown;
        reported.detail = "part of the answer is missing";
    } else if (result.status == protocol::StageStatus::Done && reported.payload.empty()) {
        reported.payload =
            nlohmann::json{{"text", m_assembler.text()}, {"tokens", m_assembler.tokens().value()}}
                .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }
    m_observer.onAttemptResult(reported);
}

} // namespace lavendertally::pipeline
