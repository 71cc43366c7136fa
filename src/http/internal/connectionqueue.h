#pragma once

#include "framework/types/endpoint.h"

#include <deque>
#include <map>

namespace lavendertally::http {

class ClientCall;

/// Calls that wait for a connection, by server, in the order in which they came.
class ConnectionQueue
{
public:
    void add(const framework::Endpoint &server, ClientCall &call);
    /// \return whether the call was waiting
    bool remove(const framework::Endpoint &server, ClientCall &call);
    /// \return the call that has waited longest, or null
    ClientCall *front(const framework::Endpoint &server) const;
    /// Notes that an idle connection is closed for the call that has waited longest.
    /// \return whether none was closed for it before
    bool noteRoomMade(const framework::Endpoint &server);

private:
    struct Waiting
    {
        std::deque<ClientCall *> calls;
        bool hasRoomMade = false;
    };

    std::map<framework::Endpoint, Waiting> m_calls;
};

} // namespace lavendertally::http
