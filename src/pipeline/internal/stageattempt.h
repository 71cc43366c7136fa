#pragma once

#include "framework/types/timepoint.h"
#include "membership/types/hostentry.h"
#include "pipeline/internal/answerassembler.h"
#include "transport/istagecallobserver.h"

#include <memory>

namespace lavendertally::protocol {
struct StageRequest;
}

namespace lavendertally::transport {
class IStageCall;
}

namespace lavendertally::pipeline {

class IStageAttemptObserver;
struct PipelineContext;

/// One attempt to run a stage on a host. Destroying it cancels the call. The selector is told of
/// the start and, exactly once, of the end of the call, also if it is cancelled.
class StageAttempt final : private transport::IStageCallObserver
{
public:
    StageAttempt(const PipelineContext &context, membership::HostEntry host,
                 const protocol::StageRequest &request, IStageAttemptObserver &observer);
    ~StageAttempt() override;
    StageAttempt(const StageAttempt &) = delete;
    StageAttempt &operator=(const StageAttempt &) = delete;

    const membership::HostEntry &host() const { return m_host; }
    framework::TimePoint startedAt() const { return m_startedAt; }
    /// \return whether any text was passed to the observer
    bool hasText() const { return !m_assembler.text().empty(); }

    /// Holds the host process back while the caller reads more slowly; see IStageCall.
    void pauseReading();
    void resumeReading();

private:
    void onChunk(const protocol::StageChunk &chunk) override;
    void onResult(const protocol::StageResult &result) override;
    void end();

    const PipelineContext &m_context;
    membership::HostEntry m_host;
    IStageAttemptObserver &m_observer;
    framework::TimePoint m_startedAt;
    AnswerAssembler m_assembler;
    bool m_ended = false;
    std::unique_ptr<transport::IStageCall> m_call;
};

} // namespace lavendertally::pipeline
