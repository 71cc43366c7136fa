#include "platform/internal/exchangereply.h"

#include "http/ihttpexchange.h"
#include "platform/internal/wirenames.h"
#include "proxy/types/refusal.h"
#include "proxy/types/responsehead.h"

#include <array>
#include <cstdio>
#include <utility>

namespace lavendertally::platform {

namespace {

int statusOf(proxy::RefusalKind kind)
{
    switch (kind) {
    case proxy::RefusalKind::NoRoute:
        return 404;
    case proxy::RefusalKind::UnknownKey:
        return 401;
    case proxy::RefusalKind::NotRun:
        return 503;
    case proxy::RefusalKind::ResponseLost:
        return 502;
    case proxy::RefusalKind::TimedOut:
        return 504;
    }
    return 502;
}

/// Seconds with a fraction, as the platform's clients read them.
std::string seconds(framework::Milliseconds time)
{
    constexpr double MillisecondsPerSecond = 1000.0;
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f",
                  static_cast<double>(time.value()) / MillisecondsPerSecond);
    return text.data();
}

} // namespace

ExchangeReply::ExchangeReply(std::shared_ptr<http::IHttpExchange> exchange,
                             framework::RequestId request)
    : m_exchange(std::move(exchange)), m_request(std::move(request))
{ }

ExchangeReply::~ExchangeReply() = default;

void ExchangeReply::reply(const proxy::ResponseHead &head, std::string_view body)
{
    m_exchange->reply(head.status, {}, body, head.headers);
}

void ExchangeReply::startStream(const proxy::ResponseHead &head)
{
    m_exchange->startStream(head.status, {}, head.headers);
}

void ExchangeReply::sendPart(std::string_view text)
{
    m_exchange->sendPart(text);
}

bool ExchangeReply::isBehind() const
{
    return m_exchange->isBehind();
}

void ExchangeReply::onCaughtUp(std::function<void()> callback)
{
    m_exchange->onCaughtUp(std::move(callback));
}

void ExchangeReply::endStream()
{
    m_exchange->endStream();
}

void ExchangeReply::abort()
{
    m_exchange->abort();
}

void ExchangeReply::refuse(const proxy::Refusal &refusal)
{
    http::HttpHeaders headers = {{std::string(wire::RequestId), m_request.value()}};
    if (refusal.kind == proxy::RefusalKind::NotRun) {
        headers.emplace_back(std::string(wire::RetryAfter), seconds(refusal.retryAfter));
    }
    const char *contentType = refusal.detail.empty() ? "" : "text/plain";
    m_exchange->reply(statusOf(refusal.kind), contentType, refusal.detail, headers);
}

} // namespace lavendertally::platform
