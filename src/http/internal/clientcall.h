#pragma once

#include "framework/types/endpoint.h"
#include "framework/types/milliseconds.h"
#include "http/ihttpcall.h"
#include "http/types/httpend.h"

#include <memory>
#include <string>
#include <string_view>

namespace lavendertally::framework {
class ITimer;
}

namespace lavendertally::http {

class ClientConnection;
class IHttpResponseObserver;
class PooledHttpClient;
struct HttpRequest;
struct HttpResponseHead;

/// One call of a PooledHttpClient.
class ClientCall final : public IHttpCall
{
public:
    ClientCall(PooledHttpClient &client, const HttpRequest &request,
               IHttpResponseObserver &observer);
    ~ClientCall() override;
    ClientCall(const ClientCall &) = delete;
    ClientCall &operator=(const ClientCall &) = delete;

    bool hasSent() const override;
    void pauseReading() override;
    void resumeReading() override;

    const framework::Endpoint &endpoint() const { return m_endpoint; }
    framework::Milliseconds maxIdleBefore() const { return m_maxIdleBefore; }
    /// Sends the request on \p connection.
    void begin(ClientConnection &connection);

    void head(const HttpResponseHead &head);
    void data(std::string_view data);
    void serverClosing();
    bool isOwnResponse();
    void end(HttpEnd end);
    /// \return whether the response under way belongs to another request
    bool skipsResponse() const { return m_skips; }
    void awaitNextResponse() { m_skips = false; }

private:
    void timeOut();
    /// Ends the call because there is no connection for it.
    void endWithoutConnection();
    void report(HttpEnd end);

    PooledHttpClient &m_client;
    IHttpResponseObserver &m_observer;
    framework::Endpoint m_endpoint;
    framework::Milliseconds m_maxIdleBefore;
    framework::Milliseconds m_acceptanceWait;
    bool m_isBodiless;
    /// Bytes of the whole request until it has a connection.
    std::string m_request;
    /// Null while the call waits for a connection, and after its end.
    ClientConnection *m_connection = nullptr;
    std::unique_ptr<framework::ITimer> m_timeout;
    std::unique_ptr<framework::ITimer> m_waitTimer;
    int m_status = 0;
    bool m_skips = false;
    bool m_isPaused = false;
    bool m_hasEnded = false;
};

} // namespace lavendertally::http
