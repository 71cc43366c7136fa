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

/// The attempts of one request: how many there were, where, and whether there may be another one.
class RequestAttempts
{
public:
    /// \param request and \param plan outlive this object
    RequestAttempts(const ProxyContext &context, const ClientRequest &request,
                    const RequestPlan &plan);

    /// An attempt begins.
    void begin() { ++m_count; }
    /// The backend server has seen nothing of it, so it was no attempt.
    void takeBack() { --m_count; }
    /// \return backend servers that may have seen the request
    std::uint32_t count() const { return m_count; }

    void exclude(const framework::BackendServerId &server) { m_excluded.insert(server); }
    void readmit(const framework::BackendServerId &server) { m_excluded.erase(server); }
    const std::set<framework::BackendServerId> &excluded() const { return m_excluded; }

    /// Counts a connection that could not be made.
    /// \return whether another one may be tried at once
    bool mayConnectElsewhere();

    /// Asks for another attempt after one at \p server has failed.
    /// \param timeLeft time that the request has left
    /// \return how long to wait before it, or nothing if there is none
    std::optional<framework::Milliseconds> next(const framework::BackendServerId &server,
                                                bool mayHaveRun, framework::Milliseconds timeLeft);

private:
    const ProxyContext &m_context;
    const ClientRequest &m_request;
    const RequestPlan &m_plan;
    std::uint32_t m_count = 0;
    std::uint32_t m_unsent = 0;
    framework::Milliseconds m_backoff;
    std::set<framework::BackendServerId> m_excluded;
};

} // namespace lavendertally::proxy
