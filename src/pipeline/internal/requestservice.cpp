#include "pipeline/internal/requestservice.h"

#include "pipeline/internal/requestrun.h"
#include "pipeline/internal/stageattempt.h"

#include <vector>

namespace lavendertally::pipeline {

RequestService::RequestService(const PipelineContext &context) : m_context(context) { }

RequestService::~RequestService() = default;

IRequestService::Ticket RequestService::start(CallerRequest request, IRequestObserver &observer)
{
    const Ticket ticket = ++m_lastTicket;
    auto run = std::make_shared<RequestRun>(*this, ticket, std::move(request), observer);
    m_runs.emplace(ticket, run);
    run->schedule();
    return ticket;
}

void RequestService::abandon(Ticket ticket)
{
    const auto run = m_runs.find(ticket);
    if (run != m_runs.end()) {
        const std::shared_ptr<RequestRun> keepAlive = run->second;
        keepAlive->abandon();
    }
}

std::set<framework::HostId> RequestService::awaitedHosts(framework::TimePoint since) const
{
    std::set<framework::HostId> hosts;
    for (const auto &[ticket, run] : m_runs) {
        const StageAttempt *attempt = run->repeatableAttempt();
        if (attempt != nullptr && attempt->startedAt() < since) {
            hosts.insert(attempt->host().id);
        }
    }
    return hosts;
}

void RequestService::endCallsTo(const framework::HostId &host)
{
    std::vector<std::shared_ptr<RequestRun>> affected;
    for (const auto &[ticket, run] : m_runs) {
        const StageAttempt *attempt = run->repeatableAttempt();
        if (attempt != nullptr && attempt->host().id == host) {
            affected.push_back(run);
        }
    }
    for (const std::shared_ptr<RequestRun> &run : affected) {
        run->failAttempt("host process does not answer");
    }
}

framework::AttemptId RequestService::nextAttempt()
{
    m_lastAttempt = m_lastAttempt.next();
    return m_lastAttempt;
}

void RequestService::remove(Ticket ticket)
{
    m_runs.erase(ticket);
}

} // namespace lavendertally::pipeline
