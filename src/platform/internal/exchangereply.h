#pragma once

#include "framework/types/ids.h"
#include "proxy/iresponsewriter.h"

#include <memory>

namespace lavendertally::http {
class IHttpExchange;
}

namespace lavendertally::platform {

/// Writes the answer to a client's request.
class ExchangeReply final : public proxy::IResponseWriter
{
public:
    ExchangeReply(std::shared_ptr<http::IHttpExchange> exchange, framework::RequestId request);
    ~ExchangeReply() override;

    void reply(const proxy::ResponseHead &head, std::string_view body) override;
    void startStream(const proxy::ResponseHead &head) override;
    void sendPart(std::string_view text) override;
    bool isBehind() const override;
    void onCaughtUp(std::function<void()> callback) override;
    void endStream() override;
    void abort() override;
    void refuse(const proxy::Refusal &refusal) override;

private:
    std::shared_ptr<http::IHttpExchange> m_exchange;
    framework::RequestId m_request;
};

} // namespace lavendertally::platform
