#include "standins/internal/faultyexchange.h"

#include "standins/deferredcalls.h"

#include <utility>

namespace lavendertally::standins {

namespace {

constexpr int PartsBeforeCut = 2;

} // namespace

FaultyExchange::FaultyExchange(std::shared_ptr<http::IHttpExchange> exchange, FaultMode mode,
                               DeferredCalls &deferred)
    : m_exchange(std::move(exchange)), m_mode(mode), m_deferred(deferred)
{ }

void FaultyExchange::reply(int status, const std::string &contentType, std::string_view body,
                           const http::HttpHeaders &headers)
{
    if (m_mode == FaultMode::LostAnswer) {
        abort();
        return;
    }
    if (m_mode == FaultMode::Truncated) {
        body = body.substr(0, body.size() / 2);
    }
    m_exchange->reply(status, contentType, body, headers);
}

void FaultyExchange::startStream(int status, const std::string &contentType,
                                 const http::HttpHeaders &headers)
{
    if (m_mode != FaultMode::LostAnswer) {
        m_exchange->startStream(status, contentType, headers);
    }
}

void FaultyExchange::sendPart(std::string_view data)
{
    ++m_parts;
    if (m_mode == FaultMode::LostAnswer
        || (m_mode == FaultMode::Truncated && m_parts > PartsBeforeCut)) {
        return;
    }
    if (m_mode == FaultMode::Truncated && m_parts == PartsBeforeCut) {
        m_exchange->sendPart(data.substr(0, data.size() / 2));
        abort();
        return;
    }
    if (m_mode == FaultMode::Reordered) {
        sendReordered(data);
        return;
    }
    m_exchange->sendPart(data);
    if (m_mode == FaultMode::Doubled) {
        m_exchange->sendPart(data);
    }
}

void FaultyExchange::sendReordered(std::string_view data)
{
    if (m_heldPart.empty()) {
        m_heldPart = data;
        return;
    }
    m_exchange->sendPart(data);
    m_exchange->sendPart(std::exchange(m_heldPart, {}));
}

void FaultyExchange::endStream()
{
    if (m_mode == FaultMode::LostAnswer) {
        abort();
        return;
    }
    m_exchange->sendPart(m_heldPart);
    m_exchange->endStream();
}

void FaultyExchange::abort()
{
    // The connection must not go away below the callback that handles its request.
    m_deferred.callAfter(framework::Milliseconds(0),
                         [exchange = m_exchange] { exchange->abort(); });
}

void FaultyExchange::onHangUp(std::function<void()> callback)
{
    m_exchange->onHangUp(std::move(callback));
}

} // namespace lavendertally::standins
