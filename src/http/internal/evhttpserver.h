#pragma once

#include "http/ihttpserver.h"
#include "http/types/httplimits.h"

struct event_base;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

namespace lavendertally::http {

/// HTTP server on evhttp.
class EvHttpServer final : public IHttpServer
{
public:
    EvHttpServer(event_base *base, const HttpLimits &limits);
    ~EvHttpServer() override;
    EvHttpServer(const EvHttpServer &) = delete;
    EvHttpServer &operator=(const EvHttpServer &) = delete;

    void setHandler(Handler handler) override;
    framework::Result<framework::Endpoint> listen(const framework::Endpoint &endpoint) override;
    void stopListening() override;
    std::size_t unfinishedExchanges() const override { return *m_unfinished; }

private:
    static void handleRequest(evhttp_request *request, void *self);

    event_base *m_base;
    evhttp *m_http;
    evhttp_bound_socket *m_socket = nullptr;
    Handler m_handler;
    /// Shared with the exchanges, which may outlive this object.
    std::shared_ptr<std::size_t> m_unfinished = std::make_shared<std::size_t>(0);
};

} // namespace lavendertally::http
