#pragma once

#include "framework/types/ids.h"
#include "pipeline/irequestobserver.h"

#include <functional>
#include <memory>
#include <string>

namespace lavendertally::http {
class IHttpExchange;
}

namespace lavendertally::frontend {

/// Writes the answer to one caller, as a JSON object or as a stream of server-sent events.
class CallerExchange final : public pipeline::IRequestObserver
{
public:
    /// \param stream whether the caller asked for server-sent events
    /// \param finished called once after the answer was written; may destroy this object
    CallerExchange(std::shared_ptr<http::IHttpExchange> exchange, framework::RequestId requestId,
                   bool stream, std::function<void()> finished);

    void onText(const std::string &text) override;
    bool isBehind() const override;
    void onCaughtUp(std::function<void()> callback) override;
    void onRestart() override;
    void onAnswer(const pipeline::CallerAnswer &answer) override;

private:
    void sendEvent(const char *event, const std::string &data);
    void startStream();

    std::shared_ptr<http::IHttpExchange> m_exchange;
    framework::RequestId m_requestId;
    bool m_stream;
    bool m_started = false;
    std::function<void()> m_finished;
};

} // namespace lavendertally::frontend
