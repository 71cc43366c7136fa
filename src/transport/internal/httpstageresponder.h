#pragma once

#include "protocol/types/message.h"
#include "transport/istageresponder.h"

#include <memory>

namespace lavendertally::http {
class IHttpExchange;
}

namespace lavendertally::protocol {
class IMessageCodec;
}

namespace lavendertally::transport {

/// Writes the answer to a stage call as a sequence of frames in the HTTP response body.
class HttpStageResponder final : public IStageResponder
{
public:
    HttpStageResponder(std::shared_ptr<http::IHttpExchange> exchange,
                       const protocol::IMessageCodec &codec);

    void sendChunk(const protocol::StageChunk &chunk) override;
    bool isBehind() const override;
    void onCaughtUp(std::function<void()> callback) override;
    void sendResult(const protocol::StageResult &result) override;

private:
    void startIfNeeded();

    std::shared_ptr<http::IHttpExchange> m_exchange;
    const protocol::IMessageCodec &m_codec;
    bool m_started = false;
};

} // namespace lavendertally::transport
