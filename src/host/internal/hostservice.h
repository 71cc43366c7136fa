#pragma once

#include "admission/types/completion.h"
#include "admission/types/workkey.h"
#include "configuration/types/service.h"
#include "host/ihostservice.h"
#include "host/internal/icalllistener.h"
#include "host/types/hostservicecontext.h"
#include "protocol/types/refusalreason.h"
#include "protocol/types/stageresult.h"

#include <map>
#include <memory>
#include <optional>

namespace lavendertally::admission {
struct AdmissionDecision;
struct BackendHealth;
} // namespace lavendertally::admission

namespace lavendertally::backends {
class IBackendServer;
}

namespace lavendertally::framework {
class ITimer;
}

namespace lavendertally::host {

class HostCall;

/// Queues, runs and refuses stage requests as the admission controller decides, and reports the
/// outcome of each call to it. Polls the health of the backend server.
class HostService final : public IHostService, public ICallListener
{
public:
    explicit HostService(const HostServiceContext &context);
    ~HostService() override;

    std::function<void()> handle(protocol::StageRequest request,
                                 std::shared_ptr<transport::IStageResponder> responder) override;
    void refresh() override;
    std::size_t activeCalls() const override { return m_calls.size(); }

private:
    using Calls = std::map<admission::WorkKey, std::unique_ptr<HostCall>>;

    protocol::RefusalReason refusalReason(const protocol::StageRequest &request) const;
    void admit(std::unique_ptr<HostCall> call);
    /// Runs or refuses the call that \p decision is about; ignores a call that no longer exists.
    void applyDecision(const admission::AdmissionDecision &decision);
    /// Applies the decisions that have become due and sets a timer for the next ones.
    void applyDueDecisions();
    void refuse(HostCall &call, protocol::RefusalReason reason, const std::string &detail);
    /// The entry hung up: cancels the call, unless it is running and not idempotent.
    void cancel(const admission::WorkKey &key);

    void onRateLimit(const HostCall &call,
                     std::optional<framework::RequestRate> rateLimit) override;
    void onCallDone(HostCall &call, const backends::BackendResult &result) override;
    void onCallFailed(HostCall &call, backends::BackendError error,
                      const std::string &detail) override;
    /// Finishes a call that was lost before its answer began, once it is known whether the backend
    /// server has crashed.
    void finishLostCall(HostCall &call, const protocol::StageResult &result);
    /// \return the crash that ends the current run of the backend server
    framework::CrashId nextCrash() const;
    /// Reports the end of a running call to the admission controller, the cost ledger, the metrics
    /// and the entry.
    void finishCall(HostCall &call, admission::Completion completion, protocol::StageResult result);
    framework::MicroCost recordCost(const HostCall &call, admission::Completion completion,
                                    framework::Milliseconds serviceTime);

    void applyService(const configuration::Service &service);
    void checkHealth();
    void onHealth(const std::optional<admission::BackendHealth> &health);

    HostServiceContext m_context;
    std::optional<configuration::Service> m_service;
    std::unique_ptr<backends::IBackendServer> m_backend;
    framework::Incarnation m_incarnation;
    Calls m_calls;
    /// Calls that finished within a callback of their own, which is still on the stack. They are
    /// destroyed from the event loop.
    std::vector<std::unique_ptr<HostCall>> m_finishedCalls;
    std::unique_ptr<framework::ITimer> m_finishedCallsTimer;
    std::unique_ptr<framework::ITimer> m_wakeTimer;
    std::unique_ptr<framework::ITimer> m_healthTimer;
};

} // namespace lavendertally::host
