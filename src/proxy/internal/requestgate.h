#pragma once

#include "framework/types/timepoint.h"
#include "proxy/internal/requestplan.h"
#include "proxy/types/proxycontext.h"
#include "proxy/types/refusal.h"

#include <optional>

namespace lavendertally::proxy {

struct ClientRequest;

/// Checks a request against the configuration in force.
class RequestGate
{
public:
    explicit RequestGate(const ProxyContext &context);

    /// \param now when the request arrived
    /// \param plan set as far as the request is known
    /// \return why the request is refused at once, or nothing
    std::optional<Refusal> check(const ClientRequest &request, framework::TimePoint now,
                                 RequestPlan &plan) const;

private:
    std::optional<Refusal> identify(const ClientRequest &request, framework::TimePoint now,
                                    RequestPlan &plan) const;
    framework::ServiceId chooseService(const serving::Route &route) const;

    const ProxyContext &m_context;
};

} // namespace lavendertally::proxy
