#pragma once

#include "framework/types/ids.h"
#include "proxy/iclientreply.h"

#include <memory>

namespace lavendertally::http {
class IHttpExchange;
}

namespace lavendertally::platform {

/// Writes the answer to a client's request.
class ExchangeReply final : public proxy::IClientReply
{
public:
    ExchangeReply(std::shared_ptr<http::IHttpExchange> exchange, framework::RequestId request);
    ~ExchangeReply() override;

    void answer(const proxy::AnswerHead &head, std::string_view body) override;
    void startStream(const proxy::AnswerHead &head) override;
    void sendEvent(std::string_view text) override;
    void endStream() override;
    void breakOff() override;
    void refuse(const proxy::Refusal &refusal) override;

private:
    std::shared_ptr<http::IHttpExchange> m_exchange;
    framework::RequestId m_request;
};

} // namespace lavendertally::platform
