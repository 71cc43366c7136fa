#pragma once

#include "backends/ibackendcallhandle.h"
#include "framework/types/endpoint.h"
#include "http/ihttpresponseobserver.h"

#include <memory>
#include <string>

namespace lavendertally::http {
class IHttpCall;
class IHttpClient;
struct HttpRequest;
} // namespace lavendertally::http

namespace lavendertally::backends {

class IResponseReader;
class IBackendObserver;

/// A call to a backend server over HTTP; maps the HTTP outcome to a result or a BackendError.
class HttpBackendCall final : public IBackendCallHandle, private http::IHttpResponseObserver
{
public:
    HttpBackendCall(http::IHttpClient &client, const http::HttpRequest &request,
                    std::unique_ptr<IResponseReader> reader, IBackendObserver &observer);
    ~HttpBackendCall() override;

    void pauseReading() override;
    void resumeReading() override;

private:
    bool onHead(const http::HttpResponseHead &head) override;
    void onData(int status, std::string_view data) override;
    bool isOwnResponse() override;
    void onEnd(http::HttpEnd end, int status) override;
    void finishResponse();

    int m_status = 0;
    std::unique_ptr<IResponseReader> m_reader;
    IBackendObserver &m_observer;
    std::string m_errorBody;
    std::unique_ptr<http::IHttpCall> m_call;
};

} // namespace lavendertally::backends
