#pragma once

#include "http/ihttpexchange.h"
#include "http/types/httprequesthead.h"

#include <cstddef>
#include <memory>

namespace lavendertally::http {

struct RequestHolding;
class ServerConnection;

/// One request on a ServerConnection, and the response to it.
class ServerExchange final : public IHttpExchange
{
public:
    /// \param holding what the budget bears for this request
    /// \param unfinished number that is raised until the response is on its way as a whole
    ServerExchange(ServerConnection &connection, HttpRequestHead head, std::string body,
                   std::unique_ptr<RequestHolding> holding, bool chunks,
                   std::shared_ptr<std::size_t> unfinished);
    ~ServerExchange() override;
    ServerExchange(const ServerExchange &) = delete;
    ServerExchange &operator=(const ServerExchange &) = delete;

    HttpMethod method() const override;
    const HttpRequestHead &head() const override { return m_head; }
    const std::string &path() const override { return m_path; }
    std::optional<std::string> query(const std::string &name) const override;
    std::optional<std::string> header(const std::string &name) const override;
    const std::string &body() const override { return m_body; }
    std::string takeBody() override;

    using IHttpExchange::reply;
    void reply(int status, const std::string &contentType, std::string_view body,
               const HttpHeaders &headers) override;
    void startStream(int status, const std::string &contentType,
                     const HttpHeaders &headers) override;
    void sendPart(std::string_view data) override;
    void endStream() override;
    bool isBehind() const override;
    void onCaughtUp(std::function<void()> callback) override;
    void abort() override;
    void onHangUp(std::function<void()> callback) override;

    bool hasEnded() const { return m_progress == Progress::Ended; }
    /// The network has taken all that was sent so far.
    void flushed();
    /// The connection is gone.
    void detach();
    /// The response has left, or never will.
    void countFinished();

private:
    enum class Progress
    {
        Open,
        Streaming,
        Ended,
    };

    void readTarget();
    std::string responseHead(int status, const std::string &contentType,
                             const HttpHeaders &headers) const;

    ServerConnection *m_connection;
    HttpRequestHead m_head;
    std::string m_path;
    std::string m_query;
    std::string m_body;
    std::unique_ptr<RequestHolding> m_holding;
    std::function<void()> m_hangUp;
    std::function<void()> m_caughtUp;
    Progress m_progress = Progress::Open;
    /// Whether the client understands chunks.
    bool m_chunks;
    /// Whether this response is sent in chunks.
    bool m_chunked = false;
    std::shared_ptr<std::size_t> m_unfinished;
};

} // namespace lavendertally::http
