#include "platform/internal/storeclient.h"

#include "framework/asyncerror.h"
#include "framework/iclock.h"
#include "framework/imetrics.h"
#include "http/ihttpcall.h"
#include "http/ihttpclient.h"
#include "http/types/httprequest.h"
#include "http/types/httpresponse.h"
#include "platform/internal/storecodec.h"
#include "platform/internal/wirenames.h"
#include "platform/types/storeerror.h"

#include <cctype>
#include <utility>

namespace lavendertally::platform {

namespace {

constexpr int HttpOk = 200;
constexpr int HttpGone = 410;

/// An answer that takes longer than this beyond the wait is late: more than a store that is slow
/// needs, less than the time-out, so that a short silence is noticed.
constexpr framework::Milliseconds LateAnswer{500};

/// Time for an answer beyond the wait that was asked for; a few times that of a slow store.
constexpr framework::Milliseconds AnswerTimeout{1500};

std::string escapeQuery(const std::string &text)
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    std::string result;
    for (const char character : text) {
        const auto code = static_cast<unsigned char>(character);
        if (std::isalnum(code) != 0 || character == '-' || character == '.' || character == '_') {
            result += character;
            continue;
        }
        result += '%';
        result += Digits[code / Digits.size()];
        result += Digits[code % Digits.size()];
    }
    return result;
}

std::string topicTarget(std::string_view call, std::string_view topic)
{
    return std::string(call) + "?topic=" + std::string(topic) + "&part=0";
}

StoreError errorIn(const http::HttpResponse &response)
{
    if (response.end == http::HttpEnd::NotSent) {
        return StoreError::NotDone;
    }
    if (response.end != http::HttpEnd::Complete) {
        return StoreError::Unknown;
    }
    return response.status == HttpGone ? StoreError::HistoryDropped : StoreError::NotDone;
}

bool isSuccess(const http::HttpResponse &response)
{
    return response.end == http::HttpEnd::Complete && response.status == HttpOk;
}

} // namespace

StoreClient::StoreClient(http::IHttpClient &client, framework::Endpoint store,
                         const framework::IClock &clock, framework::IMetrics &metrics)
    : m_client(client), m_store(std::move(store)), m_clock(clock), m_metrics(metrics)
{ }

StoreClient::Call
StoreClient::readNewest(std::string_view topic, const std::string &after,
                        std::function<void(framework::Result<StorePage>)> callback)
{
    http::HttpRequest request;
    request.endpoint = m_store;
    request.target = topicTarget(wire::LogNewest, topic);
    if (!after.empty()) {
        request.target += "&after=" + escapeQuery(after);
    }
    request.timeout = AnswerTimeout;
    return m_client.fetch(request,
                          [this, due = m_clock.now() + LateAnswer,
                           callback = std::move(callback)](const http::HttpResponse &response) {
                              note("newest", response, due);
                              callback(isSuccess(response)
                                           ? decodePage(response.body)
                                           : framework::asyncError<StorePage>(errorIn(response)));
                          });
}

StoreClient::Call
StoreClient::readChanges(std::string_view topic, framework::LogOffset from,
                         framework::Milliseconds wait,
                         std::function<void(framework::Result<StoreChanges>)> callback)
{
    http::HttpRequest request;
    request.endpoint = m_store;
    request.target = topicTarget(wire::LogRead, topic) + "&from=" + std::to_string(from.value());
    if (wait.value() > 0) {
        request.target += "&waitMs=" + std::to_string(wait.value());
    }
    request.timeout = wait + AnswerTimeout;
    return m_client.fetch(
        request,
        [this, from, due = m_clock.now() + wait + LateAnswer,
         callback = std::move(callback)](const http::HttpResponse &response) {
            note("read", response, due);
            callback(isSuccess(response) ? decodeChanges(response.body, from)
                                         : framework::asyncError<StoreChanges>(errorIn(response)));
        });
}

StoreClient::Call StoreClient::append(std::string_view topic, const protocol::TopicRecord &record,
                                      std::function<void(framework::Result<void>)> callback)
{
    http::HttpRequest request;
    request.endpoint = m_store;
    request.method = http::HttpMethod::Post;
    request.target = topicTarget(wire::LogAppend, topic);
    request.body = encodeRecord(record);
    request.timeout = AnswerTimeout;
    return m_client.fetch(request,
                          [this, due = m_clock.now() + LateAnswer,
                           callback = std::move(callback)](const http::HttpResponse &response) {
                              note("append", response, due);
                              callback(isSuccess(response)
                                           ? framework::Result<void>()
                                           : framework::asyncError<void>(errorIn(response)));
                          });
}

void StoreClient::note(const char *call, const http::HttpResponse &response,
                       framework::TimePoint due)
{
    const framework::TimePoint now = m_clock.now();
    const bool isAnswered = isSuccess(response) || response.status == HttpGone;
    if (!isAnswered || now > due) {
        m_lastTrouble = now;
    }
    m_metrics.increment("lavendertally_store_calls_total",
                        {{"call", call}, {"status", std::to_string(response.status)}});
}

} // namespace lavendertally::platform
