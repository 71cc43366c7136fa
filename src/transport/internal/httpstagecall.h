#pragma once

#include "framework/types/ids.h"
#include "http/ihttpresponseobserver.h"
#include "protocol/types/stageresult.h"
#include "transport/istagecall.h"

#include <memory>
#include <string>

namespace lavendertally::framework {
class IMetrics;
}

namespace lavendertally::http {
class IHttpCall;
class IHttpClient;
struct HttpRequest;
} // namespace lavendertally::http

namespace lavendertally::protocol {
class IFrameReader;
class IMessageCodec;
} // namespace lavendertally::protocol

namespace lavendertally::transport {

class IStageCallObserver;

/// One stage call over HTTP.
class HttpStageCall final : public IStageCall, private http::IHttpResponseObserver
{
public:
    HttpStageCall(http::IHttpClient &client, const protocol::IMessageCodec &codec,
                  framework::IMetrics &metrics, const http::HttpRequest &request,
                  framework::AttemptId attempt, IStageCallObserver &observer);
    ~HttpStageCall() override;

    void pauseReading() override;
    void resumeReading() override;

private:
    void onData(int status, std::string_view data) override;
    void onEnd(http::HttpEnd end, int status) override;

    /// \return whether more frames may follow
    bool handleFrame(const std::string &frame);
    void finish(protocol::StageStatus status, protocol::RefusalReason reason,
                const std::string &detail);

    const protocol::IMessageCodec &m_codec;
    framework::IMetrics &m_metrics;
    framework::AttemptId m_attempt;
    IStageCallObserver *m_observer;
    std::unique_ptr<protocol::IFrameReader> m_frames;
    std::unique_ptr<http::IHttpCall> m_call;
    /// Flag on the stack of onData() while frames are processed; set by the destructor, since the
    /// observer may destroy this call.
    bool *m_destroyed = nullptr;
};

} // namespace lavendertally::transport
