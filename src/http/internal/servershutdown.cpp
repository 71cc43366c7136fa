#include "http/servershutdown.h"

#include "http/ihttpserver.h"

namespace lavendertally::http {

void ServerShutdown::begin()
{
    m_server.closeAfterResponses();
}

bool ServerShutdown::finish()
{
    m_server.stopListening();
    m_server.closeIdleConnections();
    return m_server.unfinishedExchanges() == 0 && m_server.connectionsInUse() == 0;
}

} // namespace lavendertally::http
