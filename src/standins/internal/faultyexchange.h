#pragma once

#include "http/ihttpexchange.h"
#include "standins/types/faultmode.h"

#include <memory>
#include <string>
#include <utility>

namespace lavendertally::standins {

class DeferredCalls;

/// Exchange whose answer is lost, cut, or sent in doubled or reordered parts.
class FaultyExchange final : public http::IHttpExchange
{
public:
    FaultyExchange(std::shared_ptr<http::IHttpExchange> exchange, FaultMode mode,
                   DeferredCalls &deferred);

    http::HttpMethod method() const override { return m_exchange->method(); }
    const http::HttpRequestHead &head() const override { return m_exchange->head(); }
    const std::string &path() const override { return m_exchange->path(); }
    std::optional<std::string> query(const std::string &name) const override
    {
        return m_exchange->query(name);
    }
    std::optional<std::string> header(const std::string &name) const override
    {
        return m_exchange->header(name);
    }
    const std::string &body() const override { return m_exchange->body(); }
    std::string takeBody() override { return m_exchange->takeBody(); }
    void reply(int status, const std::string &contentType, std::string_view body,
               const http::HttpHeaders &headers) override;
    void startStream(int status, const std::string &contentType,
                     const http::HttpHeaders &headers) override;
    void sendPart(std::string_view data) override;
    void endStream() override;
    bool isBehind() const override { return m_exchange->isBehind(); }
    void onCaughtUp(std::function<void()> callback) override
    {
        m_exchange->onCaughtUp(std::move(callback));
    }
    void abort() override;
    void onHangUp(std::function<void()> callback) override;

private:
    /// Sends half of the announced body and closes the connection.
    void cutConnection(int status, const std::string &contentType, std::string_view body);
    void sendReordered(std::string_view data);

    std::shared_ptr<http::IHttpExchange> m_exchange;
    FaultMode m_mode;
    DeferredCalls &m_deferred;
    int m_parts = 0;
    std::string m_heldPart;
};

} // namespace lavendertally::standins
