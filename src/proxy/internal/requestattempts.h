#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"

#include <cstdint>
#include <optional>
#include <set>

namespace lavendertally::proxy {

struct ClientRequest;
struct ProxyContext;
struct RequestPlan;

/// Tracks the attempts of one request at backend servers, and decides whether another one is
/// allowed.
class RequestAttempts
{
public:
    /// All arguments must outlive this object.
    RequestAttempts(const ProxyContext &context, const ClientRequest &request,
                    const RequestPlan &plan);

    /// Counts an attempt that is about to be sent.
    void begin() { ++m_count; }
    /// Takes the last attempt out of the count, because it does not use up one of the route's
    /// attempts.
    void discardLast() { --m_count; }
    /// \return number of attempts so far, without those taken out by discardLast()
    std::uint32_t count() const { return m_count; }

    /// Sends no further attempt to \p server.
    void exclude(const framework::BackendServerId &server) { m_excluded.insert(server); }
    void readmit(const framework::BackendServerId &server) { m_excluded.erase(server); }
    const std::set<framework::BackendServerId> &excluded() const { return m_excluded; }

    /// Counts a backend server to which no connection could be made.
    /// \return whether another backend server may be tried at once
    bool recordConnectFailure();

    /// Asks the retry policy for another attempt after one at \p server has failed.
    /// \param mayHaveRun whether \p server may have run the request
    /// \param timeLeft time until the request's deadline
    /// \return backoff before the next attempt, or nothing if there must be none
    std::optional<framework::Milliseconds> nextBackoff(const framework::BackendServerId &server,
                                                       bool mayHaveRun,
                                                       framework::Milliseconds timeLeft);

private:
    const ProxyContext &m_context;
    const ClientRequest &m_request;
    const RequestPlan &m_plan;
    std::uint32_t m_count = 0;
    std::uint32_t m_connectFailures = 0;
    framework::Milliseconds m_backoff;
    std::set<framework::BackendServerId> m_excluded;
};

} // namespace lavendertally::proxy
