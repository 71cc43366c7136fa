#include "http/internal/connectionqueue.h"

#include <utility>

namespace lavendertally::http {

void ConnectionQueue::add(const framework::Endpoint &server, ClientCall &call)
{
    m_calls[server].calls.push_back(&call);
}

bool ConnectionQueue::remove(const framework::Endpoint &server, ClientCall &call)
{
    const auto found = m_calls.find(server);
    if (found == m_calls.end()) {
        return false;
    }
    Waiting &waiting = found->second;
    if (waiting.calls.front() == &call) {
        waiting.hasRoomMade = false;
    }
    const bool wasWaiting = std::erase(waiting.calls, &call) > 0;
    if (waiting.calls.empty()) {
        m_calls.erase(found);
    }
    return wasWaiting;
}

ClientCall *ConnectionQueue::front(const framework::Endpoint &server) const
{
    const auto found = m_calls.find(server);
    return found == m_calls.end() ? nullptr : found->second.calls.front();
}

bool ConnectionQueue::noteRoomMade(const framework::Endpoint &server)
{
    const auto found = m_calls.find(server);
    return found != m_calls.end() && !std::exchange(found->second.hasRoomMade, true);
}

} // namespace lavendertally::http
