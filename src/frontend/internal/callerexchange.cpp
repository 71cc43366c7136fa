#include "frontend/internal/callerexchange.h"

#include "frontend/internal/answerwriter.h"
#include "http/ihttpexchange.h"
#include "pipeline/types/calleranswer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>

namespace lavendertally::frontend {

namespace {

constexpr int HttpOk = 200;
constexpr int HttpUnavailable = 503;
constexpr const char *OutcomeHeader = "Lavendertally-Outcome";
constexpr std::int64_t MsPerSecond = 1000;

/// \return whole seconds, at least one
std::string retryAfterSeconds(framework::Milliseconds retryAfter)
{
    const std::int64_t seconds = (retryAfter.value() + MsPerSecond - 1) / MsPerSecond;
    return std::to_string(std::max<std::int64_t>(seconds, 1));
}

} // namespace

CallerExchange::CallerExchange(std::shared_ptr<http::IHttpExchange> exchange,
                               framework::RequestId requestId, bool stream,
                               std::function<void()> finished)
    : m_exchange(std::move(exchange)), m_requestId(std::move(requestId)), m_stream(stream),
      m_finished(std::move(finished))
{ }

void CallerExchange::startStream()
{
    if (!m_started) {
        m_started = true;
        m_exchange->startStream(HttpOk, "text/event-stream", {{"Cache-Control", "no-cache"}});
    }
}

void CallerExchange::sendEvent(const char *event, const std::string &data)
{
    startStream();
    m_exchange->sendPart(std::string("event: ") + event + "\ndata: " + data + "\n\n");
}

void CallerExchange::onText(const std::string &text)
{
    sendEvent("text",
              nlohmann::json{{"text", text}}.dump(-1, ' ', false,
                                                  nlohmann::json::error_handler_t::replace));
}

bool CallerExchange::isBehind() const
{
    return m_exchange->isBehind();
}

void CallerExchange::onCaughtUp(std::function<void()> callback)
{
    m_exchange->onCaughtUp(std::move(callback));
}

void CallerExchange::onRestart()
{
    sendEvent("restart", "{}");
}

void CallerExchange::onAnswer(const pipeline::CallerAnswer &answer)
{
    const std::string body = AnswerWriter::json(m_requestId, answer);
    // A streaming request that fails before any text gets a plain response with a status code.
    const bool failedBeforeText = !m_started && answer.outcome != pipeline::RequestOutcome::Done;
    if (m_stream && !failedBeforeText) {
        sendEvent("answer", body);
        m_exchange->endStream();
    } else {
        const int status = AnswerWriter::status(answer);
        http::HttpHeaders headers = {{OutcomeHeader, AnswerWriter::outcomeName(answer)}};
        if (status == HttpUnavailable) {
            headers.emplace_back("Retry-After", retryAfterSeconds(answer.retryAfter));
        }
        m_exchange->reply(status, "application/json", body, headers);
    }
    // The callback destroys this object and with it m_finished, so it is called from the stack.
    const std::function<void()> finished = std::move(m_finished);
    finished();
}

} // namespace lavendertally::frontend
