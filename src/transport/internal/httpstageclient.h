#pragma once

#include "transport/istageclient.h"

namespace lavendertally::framework {
class IMetrics;
}

namespace lavendertally::http {
class IHttpClient;
}

namespace lavendertally::protocol {
class IMessageCodec;
}

namespace lavendertally::transport {

/// Sends stage calls over HTTP. A connection carries one call at a time.
class HttpStageClient final : public IStageClient
{
public:
    HttpStageClient(http::IHttpClient &client, const protocol::IMessageCodec &codec,
                    framework::IMetrics &metrics);

    std::unique_ptr<IStageCall> send(const framework::Endpoint &endpoint,
                                     const protocol::StageRequest &request,
                                     IStageCallObserver &observer) override;

private:
    http::IHttpClient &m_client;
    const protocol::IMessageCodec &m_codec;
    framework::IMetrics &m_metrics;
};

} // namespace lavendertally::transport
