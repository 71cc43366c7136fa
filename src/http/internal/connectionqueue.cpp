#include "http/internal/connectionqueue.h"

namespace lavendertally::http {

void ConnectionQueue::add(const framework::Endpoint &server, ClientCall &call)
{
    m_calls[server].push_back(&call);
}

bool ConnectionQueue::remove(const framework::Endpoint &server, ClientCall &call)
{
    const auto found = m_calls.find(server);
    if (found == m_calls.end()) {
        return false;
    }
    const bool wasWaiting = std::erase(found->second, &call) > 0;
    if (found->second.empty()) {
        m_calls.erase(found);
    }
    return wasWaiting;
}

ClientCall *ConnectionQueue::front(const framework::Endpoint &server) const
{
    const auto found = m_calls.find(server);
    return found == m_calls.end() ? nullptr : found->second.front();
}

} // namespace lavendertally::http
