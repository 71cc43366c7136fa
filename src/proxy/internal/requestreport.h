#pragma once

#include "framework/types/milliseconds.h"
#include "proxy/types/proxycontext.h"

#include <cstdint>

namespace lavendertally::proxy {

class BackendAttempt;
class TeamLabels;
struct ClientRequest;
struct RequestPlan;

/// What is known of a request when it ends, for the log and the metrics.
struct RequestReport
{
    const ClientRequest &request;
    const RequestPlan &plan;
    const BackendAttempt &attempt;
    const char *outcome = "";
    /// Age of the last confirmation of the configuration when the request arrived.
    framework::Milliseconds configurationAge;
    std::uint32_t attempts = 0;
    framework::Milliseconds stagesTime;
    framework::Milliseconds elapsed;

    /// Writes the log line that ends a request, and counts the request.
    void write(const ProxyContext &context, TeamLabels &teams) const;
};

} // namespace lavendertally::proxy
