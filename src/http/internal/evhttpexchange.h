#pragma once

#include "http/ihttpexchange.h"

#include <memory>

struct event;
struct event_base;
struct evhttp_connection;
struct evhttp_request;

namespace lavendertally::http {

/// One request to an evhttp server. It keeps itself alive until the response has ended, since
/// evhttp refers to it.
class EvHttpExchange final : public IHttpExchange
{
public:
    /// \param unfinished number that is raised until the response is on its way as a whole
    static std::shared_ptr<EvHttpExchange> create(event_base *base, evhttp_request *request,
                                                  std::shared_ptr<std::size_t> unfinished);
    ~EvHttpExchange() override;
    EvHttpExchange(const EvHttpExchange &) = delete;
    EvHttpExchange &operator=(const EvHttpExchange &) = delete;

    HttpMethod method() const override { return m_method; }
    const std::string &path() const override { return m_path; }
    std::optional<std::string> query(const std::string &name) const override;
    std::optional<std::string> header(const std::string &name) const override;
    const std::string &body() const override { return m_body; }

    using IHttpExchange::reply;
    void reply(int status, const std::string &contentType, std::string_view body,
               const HttpHeaders &headers) override;
    void startStream(int status, const std::string &contentType,
                     const HttpHeaders &headers) override;
    void sendPart(std::string_view data) override;
    void endStream() override;
    void abort() override;
    void onHangUp(std::function<void()> callback) override;

private:
    EvHttpExchange(event_base *base, evhttp_request *request,
                   std::shared_ptr<std::size_t> unfinished);

    void readRequest();
    void watchConnection(event_base *base);
    void addHeaders(const std::string &contentType, const HttpHeaders &headers);
    void detach();
    void watchFlush();
    void reportHangUp();
    static void connectionClosed(evhttp_connection *connection, void *self);
    static void peerClosed(int fd, short flags, void *self);

    evhttp_request *m_request;
    evhttp_connection *m_connection = nullptr;
    event *m_closeEvent = nullptr;
    HttpMethod m_method = HttpMethod::Get;
    std::string m_path;
    std::string m_query;
    std::string m_body;
    std::function<void()> m_hangUp;
    bool m_ended = false;
    std::shared_ptr<std::size_t> m_unfinished;
    std::shared_ptr<EvHttpExchange> m_self;
};

} // namespace lavendertally::http
