#pragma once

#include <memory>

namespace lavendertally::framework {
class ILogger;
class IMetrics;
} // namespace lavendertally::framework

namespace lavendertally::http {
class IHttpClient;
}

namespace lavendertally::protocol {
class IMessageCodec;
}

namespace lavendertally::transport {

class IStageClient;
class IStageHandler;
class IStageServer;

/// Makes the carrier of stage calls. The arguments outlive what is made.
class TransportModule
{
public:
    static std::unique_ptr<IStageClient> makeStageClient(http::IHttpClient &client,
                                                         const protocol::IMessageCodec &codec,
                                                         framework::IMetrics &metrics);
    static std::unique_ptr<IStageServer> makeStageServer(IStageHandler &handler,
                                                         const protocol::IMessageCodec &codec,
                                                         framework::IMetrics &metrics,
                                                         framework::ILogger &logger);
};

} // namespace lavendertally::transport
