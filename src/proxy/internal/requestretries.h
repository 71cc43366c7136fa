#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "proxy/internal/requestattempts.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace lavendertally::framework {
class ITimer;
}

namespace lavendertally::proxy {

class PromptGuard;

/// Schedules further attempts of one request: at once, after a backoff, or once it is known that
/// its prompt did not cause the failure.
class RequestRetries
{
public:
    /// All arguments must outlive this object.
    RequestRetries(const ProxyContext &context, const ClientRequest &request,
                   const RequestPlan &plan, PromptGuard &guard);
    ~RequestRetries();
    RequestRetries(const RequestRetries &) = delete;
    RequestRetries &operator=(const RequestRetries &) = delete;

    RequestAttempts &attempts() { return m_attempts; }
    const RequestAttempts &attempts() const { return m_attempts; }

    /// Schedules another attempt after one at \p server, if the retry policy allows one.
    /// \param mayHaveRun whether \p server may have run the request
    /// \param timeLeft gives the time until the request's deadline
    /// \param next starts the next attempt
    /// \param refuse ends the request with a cause, if a wait shows that there must be no attempt
    /// \return whether one of the two is called later, unless cancel() is called before
    bool schedule(const framework::BackendServerId &server, bool mayHaveRun,
                  std::function<framework::Milliseconds()> timeLeft, std::function<void()> next,
                  std::function<void(const char *)> refuse);
    void cancel();

private:
    /// The same for a prompt that is not suspected of having caused the failure.
    bool scheduleBackoff(const framework::BackendServerId &server, bool mayHaveRun,
                         framework::Milliseconds timeLeft, std::function<void()> next);

    const ProxyContext &m_context;
    PromptGuard &m_guard;
    RequestAttempts m_attempts;
    std::unique_ptr<framework::ITimer> m_backoffTimer;
};

} // namespace lavendertally::proxy
