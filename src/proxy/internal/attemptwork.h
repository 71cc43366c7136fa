#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"
#include "routing/types/callnumber.h"
#include "routing/types/calloutcome.h"
#include "routing/types/requestwork.h"

namespace lavendertally::membership {
struct BackendServerEntry;
}

namespace lavendertally::proxy {

class SourcePacer;
struct ClientRequest;
struct ProxyContext;
struct RequestPlan;

/// \param elapsed time since the request arrived
/// \return what is known of the work of \p request before it is sent
routing::RequestWork expectedWork(const ClientRequest &request, const RequestPlan &plan,
                                  framework::Milliseconds elapsed);

/// Reports the work of one request's attempts to the selector.
class AttemptWork
{
public:
    /// All arguments must outlive this object.
    AttemptWork(const ProxyContext &context, const ClientRequest &request, const RequestPlan &plan);
    ~AttemptWork();
    AttemptWork(const AttemptWork &) = delete;
    AttemptWork &operator=(const AttemptWork &) = delete;

    /// \param isContinued whether the attempt goes on with an answer that another one began
    void started(const membership::BackendServerEntry &server, bool isContinued);
    void eventReceived();
    /// \param pacer of the answer; what a slow client adds says nothing of the server
    void ended(routing::CallOutcome outcome, const SourcePacer &pacer);

private:
    const ProxyContext &m_context;
    const ClientRequest &m_request;
    const RequestPlan &m_plan;
    routing::CallNumber m_call;
};

} // namespace lavendertally::proxy
