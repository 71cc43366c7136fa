#include "proxy/internal/requestretries.h"

#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "proxy/internal/promptguard.h"
#include "proxy/types/proxycontext.h"

#include <utility>

namespace lavendertally::proxy {

RequestRetries::RequestRetries(const ProxyContext &context, const ClientRequest &request,
                               const RequestPlan &plan, PromptGuard &guard)
    : m_context(context), m_guard(guard), m_attempts(context, request, plan)
{ }

RequestRetries::~RequestRetries() = default;

bool RequestRetries::schedule(const framework::BackendServerId &server, bool mayHaveRun,
                              std::function<framework::Milliseconds()> timeLeft,
                              std::function<void()> next, std::function<void(const char *)> refuse)
{
    if (!mayHaveRun || !m_guard.isSuspected()) {
        return scheduleBackoff(server, mayHaveRun, timeLeft(), std::move(next));
    }
    m_guard.awaitExplanation([this, server, timeLeft = std::move(timeLeft), next = std::move(next),
                              refuse = std::move(refuse)](bool isClear) {
        if (!isClear) {
            refuse("prompt suspected of crashing a server");
        } else if (!scheduleBackoff(server, true, timeLeft(), next)) {
            refuse("answer lost");
        }
    });
    return true;
}

bool RequestRetries::scheduleBackoff(const framework::BackendServerId &server, bool mayHaveRun,
                                     framework::Milliseconds timeLeft, std::function<void()> next)
{
    const auto backoff = m_attempts.nextBackoff(server, mayHaveRun, timeLeft);
    if (!backoff) {
        return false;
    }
    m_backoffTimer = m_context.scheduler.callAfter(*backoff, std::move(next));
    return true;
}

void RequestRetries::cancel()
{
    m_backoffTimer.reset();
}

} // namespace lavendertally::proxy
