#pragma once

#include "framework/types/units.h"
#include "http/ihttpcall.h"
#include "http/ihttpresponseobserver.h"
#include "http/types/httpresponse.h"

#include <functional>
#include <memory>

namespace lavendertally::http {

class IHttpClient;
struct HttpRequest;

/// Collects a response and hands it on as a whole.
class WholeResponseCall final : public IHttpCall, private IHttpResponseObserver
{
public:
    WholeResponseCall(IHttpClient &client, const HttpRequest &request,
                      std::function<void(HttpResponse)> callback);

    bool hasSent() const override { return m_call == nullptr || m_call->hasSent(); }

private:
    void onData(int status, std::string_view data) override;
    bool onHead(const HttpResponseHead &head) override;
    bool isOwnResponse() override;
    void onEnd(HttpEnd end, int status) override;

    framework::Bytes m_maxBody;
    std::function<bool(const HttpResponse &)> m_isOwnResponse;
    HttpResponse m_response;
    std::function<void(HttpResponse)> m_callback;
    std::unique_ptr<IHttpCall> m_call;
};

} // namespace lavendertally::http
