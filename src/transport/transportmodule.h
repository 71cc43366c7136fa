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

/// Creates the client and the server of stage calls. The arguments outlive the created objects.
class TransportModule
{
public:
    /// Client that an entry uses to call host processes over HTTP.
    static std::unique_ptr<IStageClient> makeStageClient(http::IHttpClient &client,
                                                         const protocol::IMessageCodec &codec,
                                                         framework::IMetrics &metrics);
    /// Server that passes the stage calls of entries to \p handler.
    static std::unique_ptr<IStageServer> makeStageServer(IStageHandler &handler,
                                                         const protocol::IMessageCodec &codec,
                                                         framework::IMetrics &metrics,
                                                         framework::ILogger &logger);
};

} // namespace lavendertally::transport
