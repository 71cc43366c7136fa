#include "transport/internal/httpstagecall.h"

#include "framework/imetrics.h"
#include "http/ihttpcall.h"
#include "http/ihttpclient.h"
#include "http/types/httprequest.h"
#include "protocol/iframereader.h"
#include "protocol/imessagecodec.h"
#include "protocol/protocolmodule.h"
#include "transport/istagecallobserver.h"

#include <optional>
#include <utility>

namespace lavendertally::transport {

namespace {

constexpr int HttpOk = 200;

} // namespace

HttpStageCall::HttpStageCall(http::IHttpClient &client, const protocol::IMessageCodec &codec,
                             framework::IMetrics &metrics, const http::HttpRequest &request,
                             framework::AttemptId attempt, IStageCallObserver &observer)
    : m_codec(codec), m_metrics(metrics), m_attempt(attempt), m_observer(&observer),
      m_frames(protocol::ProtocolModule::makeFrameReader()), m_call(client.send(request, *this))
{ }

HttpStageCall::~HttpStageCall()
{
    if (m_destroyed != nullptr) {
        *m_destroyed = true;
    }
}

void HttpStageCall::pauseReading()
{
    m_call->pauseReading();
}

void HttpStageCall::resumeReading()
{
    m_call->resumeReading();
}

void HttpStageCall::onData(int status, std::string_view data)
{
    if (status != HttpOk || m_observer == nullptr) {
        return;
    }
    bool destroyed = false;
    m_destroyed = &destroyed;
    m_frames->append(data);
    while (!destroyed && m_observer != nullptr) {
        auto frame = m_frames->next();
        if (!frame) {
            finish(protocol::StageStatus::Unknown, protocol::RefusalReason::None,
                   "frame exceeds the size limit");
            break;
        }
        if (!frame->has_value() || !handleFrame(**frame)) {
            break;
        }
    }
    if (!destroyed) {
        m_destroyed = nullptr;
    }
}

bool HttpStageCall::handleFrame(const std::string &frame)
{
    auto message = m_codec.decode(frame);
    if (!message) {
        m_metrics.increment("lavendertally_malformed_messages_total", {{"kind", "stage"}});
        finish(protocol::StageStatus::Unknown, protocol::RefusalReason::None,
               "host process sent a malformed message");
        return false;
    }
    if (const auto *chunk = std::get_if<protocol::StageChunk>(&*message)) {
        m_observer->onChunk(*chunk);
        return true;
    }
    if (const auto *result = std::get_if<protocol::StageResult>(&*message)) {
        std::exchange(m_observer, nullptr)->onResult(*result);
        return false;
    }
    m_metrics.increment("lavendertally_malformed_messages_total", {{"kind", "unexpected"}});
    return true;
}

void HttpStageCall::onEnd(http::HttpEnd end, int status)
{
    if (m_observer == nullptr) {
        return;
    }
    switch (end) {
    case http::HttpEnd::NotSent:
    case http::HttpEnd::NoConnection:
    case http::HttpEnd::Rejected:
        finish(protocol::StageStatus::NotRun, protocol::RefusalReason::Unreachable,
               "no connection to the host process");
        return;
    case http::HttpEnd::Complete:
        if (status != HttpOk) {
            finish(protocol::StageStatus::NotRun, protocol::RefusalReason::InvalidRequest,
                   "host process refused the message with status " + std::to_string(status));
            return;
        }
        finish(protocol::StageStatus::Unknown, protocol::RefusalReason::None,
               "answer ended without a result");
        return;
    case http::HttpEnd::RejectedAfterSend:
    case http::HttpEnd::Broken:
        finish(protocol::StageStatus::Unknown, protocol::RefusalReason::None,
               "connection to the host process broke");
        return;
    case http::HttpEnd::Malformed:
        finish(protocol::StageStatus::Unknown, protocol::RefusalReason::None,
               "host process sent no HTTP response");
        return;
    case http::HttpEnd::TimedOut:
        finish(protocol::StageStatus::Unknown, protocol::RefusalReason::None,
               "host process did not answer in time");
        return;
    }
}

void HttpStageCall::finish(protocol::StageStatus status, protocol::RefusalReason reason,
                           const std::string &detail)
{
    protocol::StageResult result;
    result.attempt = m_attempt;
    result.status = status;
    result.reason = reason;
    result.detail = detail;
    std::exchange(m_observer, nullptr)->onResult(result);
}

} // namespace lavendertally::transport
