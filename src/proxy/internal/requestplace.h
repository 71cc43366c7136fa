#pragma once

#include "admission/types/placerequest.h"
#include "framework/types/timepoint.h"
#include "proxy/iproxyservice.h"

namespace lavendertally::proxy {

struct RequestPlan;

/// Makes what a request tells when it asks for a place at its service.
class RequestPlace
{
public:
    /// The arguments must outlive this object.
    RequestPlace(IProxyService::Ticket ticket, const ClientRequest &request,
                 const RequestPlan &plan);

    /// The plan of the request is complete.
    void begin(framework::TimePoint started, framework::TimePoint deadline);
    /// \param hasInvestedWork whether work was done that would be thrown away with the request
    admission::PlaceRequest make(bool hasInvestedWork) const;

private:
    IProxyService::Ticket m_ticket;
    const ClientRequest &m_request;
    const RequestPlan &m_plan;
    framework::TimePoint m_started;
    framework::TimePoint m_deadline;
    /// Hash of what a client sends alike when it repeats a request; only the id and the time left
    /// differ.
    std::uint64_t m_identity = 0;
};

} // namespace lavendertally::proxy
