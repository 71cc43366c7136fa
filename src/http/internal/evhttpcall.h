#pragma once

#include "framework/types/endpoint.h"
#include "http/ihttpcall.h"
#include "http/types/httpend.h"

#include <event2/http.h>

#include <memory>

namespace lavendertally::framework {
class ITimer;
}

namespace lavendertally::http {

class EvHttpClient;
class IHttpResponseObserver;
struct HttpRequest;

/// One call on one evhttp connection.
class EvHttpCall final : public IHttpCall
{
public:
    EvHttpCall(EvHttpClient &client, const HttpRequest &request, IHttpResponseObserver &observer);
    ~EvHttpCall() override;
    EvHttpCall(const EvHttpCall &) = delete;
    EvHttpCall &operator=(const EvHttpCall &) = delete;

private:
    void start(const HttpRequest &request);
    void timeOut();
    void finish(HttpEnd end, int status);
    bool connected() const;

    static void onData(evhttp_request *request, void *self);
    static void onDone(evhttp_request *request, void *self);
    static void onError(evhttp_request_error error, void *self);

    EvHttpClient &m_client;
    IHttpResponseObserver *m_observer;
    framework::Endpoint m_endpoint;
    evhttp_connection *m_connection = nullptr;
    evhttp_request *m_request = nullptr;
    /// How the call ends if evhttp gives no response.
    HttpEnd m_failure = HttpEnd::Broken;
    std::unique_ptr<framework::ITimer> m_timeout;
};

} // namespace lavendertally::http
