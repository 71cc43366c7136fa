#pragma once

#include "http/ihttpresponseobserver.h"

#include <cstdint>
#include <memory>
#include <string>

namespace lavendertally::http {
class IHttpCall;
class IHttpClient;
struct HttpRequest;
} // namespace lavendertally::http

namespace lavendertally::bench {

/// Counts the text events of one streamed answer.
class StreamCounter final : private http::IHttpResponseObserver
{
public:
    StreamCounter(http::IHttpClient &client, const http::HttpRequest &request);
    ~StreamCounter() override;
    StreamCounter(const StreamCounter &) = delete;
    StreamCounter &operator=(const StreamCounter &) = delete;

    std::uint64_t events() const { return m_events; }
    bool isEnded() const { return m_ended; }
    /// \return whether the stream ended with a complete answer
    bool isDone() const { return m_done; }

private:
    void onData(int status, std::string_view data) override;
    void onEnd(http::HttpEnd end, int status) override;

    std::uint64_t m_events = 0;
    std::string m_tail;
    bool m_ended = false;
    bool m_done = false;
    std::unique_ptr<http::IHttpCall> m_call;
};

} // namespace lavendertally::bench
