#include "transport/internal/httpstageresponder.h"

#include "http/ihttpexchange.h"
#include "protocol/iframereader.h"
#include "protocol/imessagecodec.h"
#include "transport/internal/stagepath.h"

#include <utility>

namespace lavendertally::transport {

namespace {

constexpr int HttpOk = 200;

} // namespace

HttpStageResponder::HttpStageResponder(std::shared_ptr<http::IHttpExchange> exchange,
                                       const protocol::IMessageCodec &codec)
    : m_exchange(std::move(exchange)), m_codec(codec)
{ }

void HttpStageResponder::startIfNeeded()
{
    if (!m_started) {
        m_started = true;
        m_exchange->startStream(HttpOk, InnerContentType, {});
    }
}

void HttpStageResponder::sendChunk(const protocol::StageChunk &chunk)
{
    startIfNeeded();
    m_exchange->sendPart(protocol::IFrameReader::frame(m_codec.encode(chunk)));
}

bool HttpStageResponder::isBehind() const
{
    return m_exchange->isBehind();
}

void HttpStageResponder::onCaughtUp(std::function<void()> callback)
{
    m_exchange->onCaughtUp(std::move(callback));
}

void HttpStageResponder::sendResult(const protocol::StageResult &result)
{
    const std::string frame = protocol::IFrameReader::frame(m_codec.encode(result));
    if (!m_started) {
        m_exchange->reply(HttpOk, InnerContentType, frame);
        return;
    }
    m_exchange->sendPart(frame);
    m_exchange->endStream();
}

} // namespace lavendertally::transport
