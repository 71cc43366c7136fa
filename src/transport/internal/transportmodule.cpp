#include "transport/transportmodule.h"

#include "transport/internal/httpstageclient.h"
#include "transport/internal/httpstageserver.h"

namespace lavendertally::transport {

std::unique_ptr<IStageClient> TransportModule::makeStageClient(http::IHttpClient &client,
                                                               const protocol::IMessageCodec &codec,
                                                               framework::IMetrics &metrics)
{
    return std::make_unique<HttpStageClient>(client, codec, metrics);
}

std::unique_ptr<IStageServer> TransportModule::makeStageServer(IStageHandler &handler,
                                                               const protocol::IMessageCodec &codec,
                                                               framework::IMetrics &metrics,
                                                               framework::ILogger &logger)
{
    return std::make_unique<HttpStageServer>(handler, codec, metrics, logger);
}

} // namespace lavendertally::transport
