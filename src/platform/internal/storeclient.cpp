#include "platform/internal/storeclient.h"

#include "framework/asyncerror.h"
#include "framework/iclock.h"
#include "framework/ilogger.h"
#include "framework/imetrics.h"
#include "http/headerlookup.h"
#include "http/ihttpcall.h"
#include "http/ihttpclient.h"
#include "http/types/httprequest.h"
#include "http/types/httpresponse.h"
#include "platform/internal/storecodec.h"
#include "platform/internal/wirenames.h"
#include "platform/types/storeerror.h"

#include <cctype>
#include <charconv>
#include <optional>
#include <utility>

namespace lavendertally::platform {

namespace {

constexpr int HttpOk = 200;
constexpr int HttpGone = 410;
constexpr int HttpPreconditionFailed = 412;

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
    if (http::isUnsent(response.end)) {
        return StoreError::NotDone;
    }
    if (response.end != http::HttpEnd::Complete) {
        return StoreError::Unknown;
    }
    switch (response.status) {
    case HttpGone:
        return StoreError::HistoryDropped;
    case HttpPreconditionFailed:
        return StoreError::Outdated;
    default:
        return StoreError::NotDone;
    }
}

bool isSuccess(const http::HttpResponse &response)
{
    return response.end == http::HttpEnd::Complete && response.status == HttpOk;
}

bool isAppendAnswer(const http::HttpResponse &response)
{
    return isSuccess(response) && namesOffset(response.body);
}

/// An answer that belongs to another call does not tell whether the record was written.
framework::Result<void> appendResult(const http::HttpResponse &response)
{
    if (isAppendAnswer(response)) {
        return {};
    }
    return framework::asyncError<void>(isSuccess(response) ? StoreError::Unknown
                                                           : errorIn(response));
}

/// What the answer to a read holds; nothing if it is no such answer. Decoded once, before its
/// connection may be used again.
template <typename Content>
using SharedContent = std::shared_ptr<std::optional<Content>>;

/// \param decode decodes the body of an answer
/// \param failure status with which the store may answer instead; zero if there is none
/// \return tells whether a response can be the answer to the read; its content is kept
template <typename Content>
std::function<bool(const http::HttpResponse &)>
contentCheck(SharedContent<Content> content,
             std::function<framework::Result<Content>(const std::string &)> decode, int failure)
{
    return [content = std::move(content), decode = std::move(decode),
            failure](const http::HttpResponse &response) {
        if (!isSuccess(response)) {
            return response.status == failure;
        }
        framework::Result<Content> decoded = decode(response.body);
        if (decoded) {
            content->emplace(std::move(*decoded));
        }
        return content->has_value();
    };
}

template <typename Content>
framework::Result<Content> resultOf(const http::HttpResponse &response,
                                    std::optional<Content> &content, framework::StoreEra era)
{
    if (!isSuccess(response)) {
        return framework::asyncError<Content>(errorIn(response));
    }
    if (!content) {
        return framework::asyncError<Content>(StoreError::Malformed);
    }
    content->era = era;
    return std::move(*content);
}

} // namespace

StoreClient::StoreClient(http::IHttpClient &client, framework::Endpoint store,
                         const framework::IClock &clock, framework::ILogger &logger,
                         framework::IMetrics &metrics)
    : m_client(client), m_store(std::move(store)), m_clock(clock), m_logger(logger),
      m_metrics(metrics)
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
    const auto content = std::make_shared<std::optional<StorePage>>();
    request.isOwnResponse = contentCheck<StorePage>(content, decodePage, 0);
    return m_client.fetch(request,
                          [this, content, asked = m_clock.now(),
                           callback = std::move(callback)](const http::HttpResponse &response) {
                              const framework::StoreEra era =
                                  note("newest", response, asked, framework::Milliseconds(0));
                              callback(resultOf(response, *content, era));
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
    const auto content = std::make_shared<std::optional<StoreChanges>>();
    request.isOwnResponse = contentCheck<StoreChanges>(
        content, [from](const std::string &body) { return decodeChanges(body, from); }, HttpGone);
    return m_client.fetch(request,
                          [this, content, asked = m_clock.now(), wait,
                           callback = std::move(callback)](const http::HttpResponse &response) {
                              const framework::StoreEra era = note("read", response, asked, wait);
                              callback(resultOf(response, *content, era));
                          });
}

StoreClient::Call StoreClient::append(std::string_view topic, const protocol::TopicRecord &record,
                                      std::function<void(framework::Result<void>)> callback)
{
    return sendAppend(topicTarget(wire::LogAppend, topic), record, std::move(callback));
}

StoreClient::Call StoreClient::appendAt(std::string_view topic, const protocol::TopicRecord &record,
                                        framework::LogOffset at,
                                        std::function<void(framework::Result<void>)> callback)
{
    return sendAppend(topicTarget(wire::LogAppend, topic) + "&at=" + std::to_string(at.value()),
                      record, std::move(callback));
}

StoreClient::Call StoreClient::sendAppend(std::string target, const protocol::TopicRecord &record,
                                          std::function<void(framework::Result<void>)> callback)
{
    http::HttpRequest request;
    request.endpoint = m_store;
    request.method = http::HttpMethod::Post;
    request.target = std::move(target);
    request.body = encodeRecord(record);
    request.timeout = AnswerTimeout;
    request.isOwnResponse = [](const http::HttpResponse &response) {
        return isAppendAnswer(response) || response.status == HttpPreconditionFailed;
    };
    return m_client.fetch(request,
                          [this, asked = m_clock.now(),
                           callback = std::move(callback)](const http::HttpResponse &response) {
                              note("append", response, asked, framework::Milliseconds(0));
                              callback(appendResult(response));
                          });
}

framework::StoreEra StoreClient::note(const char *call, const http::HttpResponse &response,
                                      framework::TimePoint asked, framework::Milliseconds wait)
{
    const framework::TimePoint now = m_clock.now();
    const bool isAnswered = isSuccess(response) || response.status == HttpGone
        || response.status == HttpPreconditionFailed;
    if (!isAnswered || now - asked > wait + LateAnswer) {
        m_availability.noteTrouble();
    }
    if (isAnswered) {
        m_availability.noteOwnAnswer(asked, now);
    }
    if (response.end == http::HttpEnd::Malformed) {
        m_logger.warning("store sent no HTTP response; outcome of the call unknown",
                         {{"call", call}});
    }
    m_metrics.increment("lavendertally_store_calls_total",
                        {{"call", call}, {"status", std::to_string(response.status)}});
    const auto text = http::findHeader(response.headers, wire::StoreEra);
    std::uint64_t number = 0;
    const char *end = text ? text->data() + text->size() : nullptr;
    const bool isNamed =
        text && std::from_chars(text->data(), end, number).ptr == end && !text->empty();
    if (!isNamed) {
        return m_era;
    }
    const framework::StoreEra era(number);
    if (m_era < era) {
        m_logger.info("store names a new era",
                      {{"era", std::to_string(number)},
                       {"before", std::to_string(m_era.value())},
                       {"call", call}});
        m_metrics.increment("lavendertally_store_eras_total", {});
        m_era = era;
    }
    return era;
}

} // namespace lavendertally::platform
