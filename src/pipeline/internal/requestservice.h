#pragma once

#include "framework/types/ids.h"
#include "pipeline/irequestservice.h"
#include "pipeline/types/pipelinecontext.h"

#include <memory>
#include <unordered_map>

namespace lavendertally::pipeline {

class RequestRun;

/// Owns the active requests.
class RequestService final : public IRequestService
{
public:
    explicit RequestService(const PipelineContext &context);
    ~RequestService() override;

    Ticket start(CallerRequest request, IRequestObserver &observer) override;
    void abandon(Ticket ticket) override;
    void beginDrain() override { m_draining = true; }
    std::set<framework::HostId> awaitedHosts(framework::TimePoint since) const override;
    void endCallsTo(const framework::HostId &host) override;
    std::size_t activeRequests() const override { return m_runs.size(); }

    const PipelineContext &context() const { return m_context; }
    bool isDraining() const { return m_draining; }
    framework::AttemptId nextAttempt();
    /// Removes a request that has ended.
    void remove(Ticket ticket);

private:
    PipelineContext m_context;
    std::unordered_map<Ticket, std::shared_ptr<RequestRun>> m_runs;
    Ticket m_lastTicket = 0;
    framework::AttemptId m_lastAttempt;
    bool m_draining = false;
};

} // namespace lavendertally::pipeline
