#include "proxy/internal/attemptwork.h"

#include "framework/iclock.h"
#include "membership/types/backendserverentry.h"
#include "proxy/internal/requestplan.h"
#include "proxy/internal/sourcepacer.h"
#include "proxy/types/clientrequest.h"
#include "proxy/types/proxycontext.h"
#include "routing/ibackendserverselector.h"
#include "routing/icallwork.h"
#include "routing/types/serverquery.h"
#include "serving/types/route.h"

#include <algorithm>

namespace lavendertally::proxy {

routing::RequestWork expectedWork(const ClientRequest &request, const RequestPlan &plan,
                                  framework::Milliseconds elapsed)
{
    // Zero would mean that there is no objective.
    constexpr framework::Milliseconds Overdue{1};
    routing::RequestWork work;
    work.route = plan.route->id;
    work.team = plan.teamId();
    work.promptTokens = request.promptTokens;
    work.parts = request.promptParts;
    work.maxOutputTokens = request.maxOutputTokens;
    work.lengthHint = request.lengthHint;
    work.maxEventGap = plan.route->maxEventGap;
    if (plan.route->latencyObjective > framework::Milliseconds(0)) {
        work.objectiveLeft = std::max(plan.route->latencyObjective - elapsed, Overdue);
    }
    return work;
}

AttemptWork::AttemptWork(const ProxyContext &context, const ClientRequest &request,
                         const RequestPlan &plan)
    : m_context(context), m_request(request), m_plan(plan)
{ }

/// A call whose end was not reported must not leave its work with its server.
AttemptWork::~AttemptWork()
{
    m_context.selector.callWork().ended(m_call, routing::CallOutcome::Cancelled,
                                        m_context.clock.now());
}

void AttemptWork::started(const membership::BackendServerEntry &server, bool isContinued)
{
    routing::ServerQuery query;
    query.service = m_plan.service;
    query.work = expectedWork(m_request, m_plan, framework::Milliseconds(0));
    query.work.isContinued = isContinued;
    m_call = m_context.selector.callWork().started(server.id, query, m_context.clock.now());
}

void AttemptWork::eventReceived()
{
    m_context.selector.callWork().eventReceived(m_call, m_context.clock.now());
}

void AttemptWork::ended(routing::CallOutcome outcome, const SourcePacer &pacer)
{
    const bool wasHeldBack = pacer.heldTime() > framework::Milliseconds(0);
    m_context.selector.callWork().ended(
        m_call, wasHeldBack ? routing::CallOutcome::Cancelled : outcome, m_context.clock.now());
}

} // namespace lavendertally::proxy
