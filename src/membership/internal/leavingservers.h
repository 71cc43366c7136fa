#pragma once

#include "framework/types/ids.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <unordered_map>

namespace lavendertally::membership {

struct ServerLifetime;

/// Backend servers that have said that they leave. A start that leaves never comes back, so this
/// outlasts its registration: the registry may still execute one of its reports.
class LeavingServers
{
public:
    /// \return whether that is news
    bool add(const ServerLifetime &server);
    /// \return whether this start of the server, or a later one, has said that it leaves
    bool contains(const ServerLifetime &server) const;
    /// The server is not registered any more. One whose starts cannot be told apart may come back.
    void registrationEnded(const framework::BackendServerId &server);
    /// Forgets those that were added first, beyond a bound.
    /// \param isRegistered tells which of them must be kept
    void purge(const std::function<bool(const framework::BackendServerId &)> &isRegistered);

private:
    /// Latest start that leaves, by server.
    std::unordered_map<framework::BackendServerId, framework::Incarnation> m_latest;
    /// Servers in the order in which they were added.
    std::deque<framework::BackendServerId> m_order;
};

} // namespace lavendertally::membership
