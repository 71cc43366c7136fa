#pragma once

#include "admission/types/workkey.h"
#include "backends/ibackendobserver.h"
#include "framework/types/timepoint.h"
#include "framework/types/units.h"
#include "http/types/proberesult.h"
#include "protocol/types/stagerequest.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace lavendertally::backends {
class IBackendCallHandle;
class IBackendServer;
} // namespace lavendertally::backends

namespace lavendertally::protocol {
struct StageResult;
}

namespace lavendertally::transport {
class IStageResponder;
}

namespace lavendertally::host {

class ICallListener;

/// A stage request in this host process, from its arrival to its result. It calls the backend
/// server and sends chunks and result to the entry.
class HostCall final : private backends::IBackendObserver
{
public:
    HostCall(admission::WorkKey key, protocol::StageRequest request, framework::TimePoint deadline,
             std::shared_ptr<transport::IStageResponder> responder, ICallListener &listener);
    ~HostCall() override;
    HostCall(const HostCall &) = delete;
    HostCall &operator=(const HostCall &) = delete;

    /// Starts the call on the backend server. If it cannot be started, for example because the
    /// payload lacks what the call needs, ICallListener::onCallFailed() is called from within this
    /// function.
    void run(backends::IBackendServer &server, framework::TimePoint now);

    /// Finds out whether the process of the backend server has ended.
    /// \param callback called once, later, unless this object is destroyed first
    void probe(backends::IBackendServer &server, std::function<void(http::ProbeResult)> callback);

    /// The entry has gone, and the call is left to run to its end.
    void entryLeft();

    /// Sends the result to the entry. Call it once, last.
    /// \param result the attempt and the number of chunks are set here
    void reply(protocol::StageResult result);

    const admission::WorkKey &key() const { return m_key; }
    const protocol::StageRequest &request() const { return m_request; }
    framework::TimePoint deadline() const { return m_deadline; }
    bool isRunning() const { return m_running; }
    /// \return whether the backend server is held back for the entry now
    bool isHeldBack() const { return m_heldBack; }
    framework::TimePoint startedAt() const { return m_startedAt; }
    /// \return whether the backend server has survived the beginning of its answer
    bool answerBegan() const;

private:
    void resume();

    void onAnswerHead(std::optional<framework::RequestRate> rateLimit) override;
    void onChunk(const std::string &text, framework::TokenCount tokens) override;
    void onDone(const backends::BackendResult &result) override;
    void onFailed(backends::BackendError error, const std::string &detail) override;

    admission::WorkKey m_key;
    protocol::StageRequest m_request;
    framework::TimePoint m_deadline;
    std::shared_ptr<transport::IStageResponder> m_responder;
    ICallListener &m_listener;
    bool m_running = false;
    bool m_heldBack = false;
    framework::TimePoint m_startedAt;
    std::uint64_t m_chunks = 0;
    /// Parts of the text that the backend server has sent, streamed to the entry or not.
    std::uint32_t m_textParts = 0;
    std::unique_ptr<backends::IBackendCallHandle> m_handle;
    std::unique_ptr<backends::IBackendCallHandle> m_probe;
};

} // namespace lavendertally::host
