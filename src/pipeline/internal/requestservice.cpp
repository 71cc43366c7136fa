#include "pipeline/internal/requestservice.h"

#include "pipeline/internal/requestrun.h"

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
