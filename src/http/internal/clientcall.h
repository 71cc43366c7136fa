#pragma once

#include "http/ihttpcall.h"
#include "http/types/httpend.h"

#include <memory>
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

    void head(const HttpResponseHead &head);
    void data(std::string_view data);
    void serverClosing();
    /// \param sent whether the server may have seen a byte of the request
    void end(bool complete, bool sent);
    /// \return whether the response under way belongs to another request
    bool skipsResponse() const { return m_skips; }
    void awaitNextResponse() { m_skips = false; }

private:
    void timeOut();
    void report(HttpEnd end);

    IHttpResponseObserver &m_observer;
    ClientConnection *m_connection;
    std::unique_ptr<framework::ITimer> m_timeout;
    int m_status = 0;
    bool m_skips = false;
};

} // namespace lavendertally::http
