#pragma once

namespace lavendertally::http {

class IHttpServer;

/// Ends a server so that each request that has arrived is answered, whether or not it was read or
/// its connection accepted.
class ServerShutdown
{
public:
    /// \param server must outlive this object
    explicit ServerShutdown(IHttpServer &server) : m_server(server) { }

    /// Ends each connection after its next response; new connections are still accepted.
    void begin();
    /// Accepts no further connections and closes the idle ones. Called again until it has finished,
    /// since a connection whose request has just arrived stays open for the answer.
    /// \return whether nothing is left to answer, so that the process may end
    bool finish();

private:
    IHttpServer &m_server;
};

} // namespace lavendertally::http
