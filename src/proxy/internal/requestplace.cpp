#include "proxy/internal/requestplace.h"

#include "framework/hash.h"
#include "proxy/internal/requestplan.h"
#include "proxy/types/clientrequest.h"
#include "serving/types/route.h"

#include <string>

namespace lavendertally::proxy {

RequestPlace::RequestPlace(IProxyService::Ticket ticket, const ClientRequest &request,
                           const RequestPlan &plan)
    : m_ticket(ticket), m_request(request), m_plan(plan)
{ }

void RequestPlace::begin(framework::TimePoint started, framework::TimePoint deadline)
{
    m_started = started;
    m_deadline = deadline;
    const std::string head = m_plan.teamId().value() + '\n' + m_plan.route->id.value() + '\n'
        + m_request.target + '\n' + m_request.stageInput.value();
    m_identity = framework::stableHash(head) ^ framework::stableHash(m_request.body);
}

admission::PlaceRequest RequestPlace::make(bool hasInvestedWork) const
{
    admission::PlaceRequest request;
    request.key.attempt = framework::AttemptId(m_ticket);
    request.service = m_plan.service;
    request.route = m_plan.route->id;
    request.team = m_plan.teamId();
    request.rank = m_plan.priority();
    request.deadline = m_deadline;
    request.timeGiven = m_deadline - m_started;
    request.size = m_request.weightedSize();
    request.identity = m_identity;
    request.hasInvestedWork = hasInvestedWork;
    return request;
}

} // namespace lavendertally::proxy
