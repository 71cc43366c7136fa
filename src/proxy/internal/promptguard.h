#pragma once

#include "framework/types/timepoint.h"
#include "http/types/proberesult.h"
#include "proxy/types/refusal.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace lavendertally::membership {
struct BackendServerEntry;
}

namespace lavendertally::quarantine {
class IPromptWatch;
}

namespace lavendertally::proxy {

class IBackendCall;
struct ClientRequest;
struct ProxyContext;

/// Keeps one request from crashing backend servers: refuses what its watch objects to, and finds
/// out after a lost attempt whether the backend server crashed.
class PromptGuard
{
public:
    /// All arguments must outlive this object.
    PromptGuard(const ProxyContext &context, const ClientRequest &request);
    ~PromptGuard();
    PromptGuard(const PromptGuard &) = delete;
    PromptGuard &operator=(const PromptGuard &) = delete;

    /// \return refusal of a request that must not be sent to a backend server now
    std::optional<Refusal> check() const;

    /// An attempt is sent to \p server; it is a trial if a part of the prompt is suspected.
    void attemptSent(const membership::BackendServerEntry &server);
    void eventReceived();
    void answerCompleted();

    /// Finds out whether the backend server crashed before the answer of the lost attempt had
    /// begun, and reports that to the quarantine.
    /// \param examined called once, unless this object is destroyed first; at once if there is
    /// nothing to find out
    void examineLoss(std::function<void()> examined);

    /// Ends the trial that the last attempt was, if any.
    void attemptEnded();

    /// \return whether the loss of an attempt may be the prompt's fault
    bool isSuspected() const;

    /// Waits for evidence that the prompt did not cause the crash.
    /// \param explained receives whether there is any; called once, later, unless this object is
    /// destroyed first
    void awaitExplanation(const std::function<void(bool)> &explained);

    /// Ends the trial and all waiting; nothing is called back any more.
    void cancel();

private:
    void recordProbe(http::ProbeResult result);

    const ProxyContext &m_context;
    const ClientRequest &m_request;
    std::unique_ptr<quarantine::IPromptWatch> m_watch;
    std::unique_ptr<membership::BackendServerEntry> m_server;
    framework::TimePoint m_attemptSent;
    std::uint32_t m_events = 0;
    /// Whether an answer to this request has begun; a stream that resumes goes on then.
    bool m_answerBegan = false;
    std::unique_ptr<IBackendCall> m_probe;
};

} // namespace lavendertally::proxy
