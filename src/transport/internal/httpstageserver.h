#pragma once

#include "transport/istageserver.h"

namespace lavendertally::framework {
class ILogger;
class IMetrics;
} // namespace lavendertally::framework

namespace lavendertally::protocol {
class IMessageCodec;
}

namespace lavendertally::transport {

class IStageHandler;

/// Server side of stage calls over HTTP.
class HttpStageServer final : public IStageServer
{
public:
    HttpStageServer(IStageHandler &handler, const protocol::IMessageCodec &codec,
                    framework::IMetrics &metrics, framework::ILogger &logger);

    bool handle(const std::shared_ptr<http::IHttpExchange> &exchange) override;

private:
    /// Replies with status 400.
    /// \param message human-readable cause
    void refuse(const std::shared_ptr<http::IHttpExchange> &exchange, const char *message);

    IStageHandler &m_handler;
    const protocol::IMessageCodec &m_codec;
    framework::IMetrics &m_metrics;
    framework::ILogger &m_logger;
};

} // namespace lavendertally::transport
