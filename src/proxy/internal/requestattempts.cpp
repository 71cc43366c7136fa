#include "proxy/internal/requestattempts.h"

#include "framework/iclock.h"
#include "framework/ilogger.h"
#include "proxy/internal/requestplan.h"
#include "proxy/types/clientrequest.h"
#include "proxy/types/proxycontext.h"
#include "retry/iretrypolicy.h"
#include "serving/types/route.h"

namespace lavendertally::proxy {

namespace {

configuration::PriorityClass priorityClass(framework::PriorityRank rank)
{
    switch (rank.value()) {
    case 0:
        return configuration::PriorityClass::Interactive;
    case 1:
        return configuration::PriorityClass::Standard;
    default:
        return configuration::PriorityClass::Background;
    }
}

} // namespace

RequestAttempts::RequestAttempts(const ProxyContext &context, const ClientRequest &request,
                                 const RequestPlan &plan)
    : m_context(context), m_request(request), m_plan(plan)
{ }

bool RequestAttempts::recordConnectFailure()
{
    return ++m_connectFailures <= m_context.limits.maxConnectFailures;
}

std::optional<framework::Milliseconds>
RequestAttempts::nextBackoff(const framework::BackendServerId &server, bool mayHaveRun,
                             framework::Milliseconds timeLeft)
{
    if (m_count >= m_plan.route->maxAttempts) {
        return std::nullopt;
    }
    retry::RetryQuery query;
    query.service = m_plan.service;
    query.failure = mayHaveRun ? retry::FailureKind::Unknown : retry::FailureKind::NotRun;
    query.idempotent = m_plan.route->isIdempotent();
    query.priority = priorityClass(m_plan.priority());
    query.attempts = m_count;
    query.previousBackoff = m_backoff;
    query.budget = timeLeft;
    const retry::RetryDecision decision = m_context.retries.decide(query, m_context.clock.now());
    m_context.logger.info("attempt failed",
                          {{"request", m_request.id.value()},
                           {"backend_server", server.value()},
                           {"attempts", std::to_string(m_count)},
                           {"may_have_run", mayHaveRun ? "yes" : "no"},
                           {"retry", decision.retry ? "yes" : "no"}});
    if (!decision.retry) {
        return std::nullopt;
    }
    m_backoff = decision.backoff;
    return m_backoff;
}

} // namespace lavendertally::proxy
