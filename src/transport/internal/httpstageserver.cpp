#include "transport/internal/httpstageserver.h"

#include "framework/ilogger.h"
#include "framework/imetrics.h"
#include "http/ihttpexchange.h"
#include "protocol/imessagecodec.h"
#include "transport/internal/httpstageresponder.h"
#include "transport/internal/stagepath.h"
#include "transport/istagehandler.h"

namespace lavendertally::transport {

namespace {

constexpr int HttpBadRequest = 400;

} // namespace

HttpStageServer::HttpStageServer(IStageHandler &handler, const protocol::IMessageCodec &codec,
                                 framework::IMetrics &metrics, framework::ILogger &logger)
    : m_handler(handler), m_codec(codec), m_metrics(metrics), m_logger(logger)
{ }

bool HttpStageServer::handle(const std::shared_ptr<http::IHttpExchange> &exchange)
{
    if (exchange->path() != StagePath) {
        return false;
    }
    auto message = m_codec.decode(exchange->body());
    if (!message) {
        refuse(exchange, "malformed message");
        return true;
    }
    auto *request = std::get_if<protocol::StageRequest>(&*message);
    if (request == nullptr) {
        refuse(exchange, "not a stage request");
        return true;
    }
    auto responder = std::make_shared<HttpStageResponder>(exchange, m_codec);
    auto hangUp = m_handler.handle(std::move(*request), std::move(responder));
    exchange->onHangUp(std::move(hangUp));
    return true;
}

void HttpStageServer::refuse(const std::shared_ptr<http::IHttpExchange> &exchange,
                             const char *message)
{
    m_metrics.increment("lavendertally_malformed_messages_total", {{"kind", "stage"}});
    m_logger.warning("stage request rejected with status 400", {{"reason", message}});
    exchange->reply(HttpBadRequest, "text/plain", message);
}

} // namespace lavendertally::transport
