#pragma once

#include "framework/types/timepoint.h"
#include "proxy/internal/requestplan.h"
#include "proxy/types/proxycontext.h"
#include "proxy/types/refusal.h"

#include <optional>

namespace lavendertally::proxy {

struct ClientRequest;

/// Finds the route, team and service of a request in the active configuration, or refuses it.
class RequestResolver
{
public:
    explicit RequestResolver(const ProxyContext &context);

    /// \param now time at which the request arrived
    /// \param plan filled in; only in part if the request is refused
    /// \return refusal, or nothing if the request may be forwarded
    std::optional<Refusal> resolve(const ClientRequest &request, framework::TimePoint now,
                                   RequestPlan &plan) const;

private:
    std::optional<Refusal> authenticate(const ClientRequest &request, framework::TimePoint now,
                                        RequestPlan &plan) const;
    framework::ServiceId chooseService(const serving::Route &route) const;

    const ProxyContext &m_context;
};

} // namespace lavendertally::proxy
