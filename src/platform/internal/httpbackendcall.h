#pragma once

#include "framework/types/ids.h"
#include "http/ihttpresponseobserver.h"
#include "membership/types/serverlifetime.h"
#include "platform/internal/eventstreamreader.h"
#include "proxy/ibackendcall.h"

#include <memory>

namespace lavendertally::http {
class IHttpCall;
class IHttpClient;
struct HttpRequest;
} // namespace lavendertally::http

namespace lavendertally::membership {
class IBackendServerUpdates;
}

namespace lavendertally::proxy {
class IBackendResponseObserver;
}

namespace lavendertally::platform {

/// One call to a backend server of the platform.
class HttpBackendCall final : public proxy::IBackendCall, public http::IHttpResponseObserver
{
public:
    HttpBackendCall(http::IHttpClient &client, const http::HttpRequest &request,
                    framework::RequestId id, membership::ServerLifetime server,
                    membership::IBackendServerUpdates &servers,
                    proxy::IBackendResponseObserver &observer);
    ~HttpBackendCall() override;
    HttpBackendCall(const HttpBackendCall &) = delete;
    HttpBackendCall &operator=(const HttpBackendCall &) = delete;

    bool hasSent() const override;
    void pauseReading() override;
    void resumeReading() override;

    bool onHead(const http::HttpResponseHead &head) override;
    void onData(int status, std::string_view data) override;
    void onServerClosing() override;
    void onEnd(http::HttpEnd end, int status) override;

private:
    framework::RequestId m_id;
    membership::ServerLifetime m_server;
    membership::IBackendServerUpdates &m_servers;
    proxy::IBackendResponseObserver &m_observer;
    EventStreamReader m_events;
    bool m_isStream = false;
    /// Set while a call is being handed on; tells that the observer has destroyed this object.
    bool *m_destroyed = nullptr;
    std::unique_ptr<http::IHttpCall> m_call;
};

} // namespace lavendertally::platform
