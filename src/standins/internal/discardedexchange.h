#pragma once

#include "http/ihttpexchange.h"

#include <memory>
#include <string>
#include <utility>

namespace lavendertally::standins {

/// Copy of an exchange whose answer goes nowhere; for a call that takes effect twice.
class DiscardedExchange final : public http::IHttpExchange
{
public:
    explicit DiscardedExchange(std::shared_ptr<http::IHttpExchange> exchange)
        : m_exchange(std::move(exchange))
    { }

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
    void reply(int /*status*/, const std::string & /*contentType*/, std::string_view /*body*/,
               const http::HttpHeaders & /*headers*/) override
    { }
    void startStream(int /*status*/, const std::string & /*contentType*/,
                     const http::HttpHeaders & /*headers*/) override
    { }
    void sendPart(std::string_view /*data*/) override { }
    void endStream() override { }
    bool isBehind() const override { return false; }
    void onCaughtUp(std::function<void()> /*callback*/) override { }
    void abort() override { }
    void onHangUp(std::function<void()> /*callback*/) override { }

private:
    std::shared_ptr<http::IHttpExchange> m_exchange;
};

} // namespace lavendertally::standins
