#include "transport/internal/httpstageclient.h"

#include "http/types/httprequest.h"
#include "protocol/imessagecodec.h"
#include "transport/internal/httpstagecall.h"
#include "transport/internal/stagepath.h"

namespace lavendertally::transport {

namespace {

/// Time after the end of the budget in which a host process can still report the result.
constexpr framework::Milliseconds AnswerGrace{1000};

} // namespace

HttpStageClient::HttpStageClient(http::IHttpClient &client, const protocol::IMessageCodec &codec,
                                 framework::IMetrics &metrics)
    : m_client(client), m_codec(codec), m_metrics(metrics)
{ }

std::unique_ptr<IStageCall> HttpStageClient::send(const framework::Endpoint &endpoint,
                                                  const protocol::StageRequest &request,
                                                  IStageCallObserver &observer)
{
    http::HttpRequest message;
    message.endpoint = endpoint;
    message.method = http::HttpMethod::Post;
    message.target = StagePath;
    message.headers = {{"Content-Type", InnerContentType}};
    message.body = m_codec.encode(request);
    message.timeout = request.budget + AnswerGrace;
    return std::make_unique<HttpStageCall>(m_client, m_codec, m_metrics, message, request.attempt,
                                           observer);
}

} // namespace lavendertally::transport
