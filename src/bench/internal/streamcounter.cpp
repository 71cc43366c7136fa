#include "bench/internal/streamcounter.h"

#include "http/ihttpcall.h"
#include "http/ihttpclient.h"

namespace lavendertally::bench {

namespace {

constexpr std::string_view TextEvent = "event: text\n";
constexpr std::string_view DoneMark = R"("outcome":"done")";
constexpr std::size_t TailSize = 4096;

} // namespace

StreamCounter::StreamCounter(http::IHttpClient &client, const http::HttpRequest &request)
    : m_call(client.send(request, *this))
{ }

StreamCounter::~StreamCounter() = default;

void StreamCounter::onData(int /*status*/, std::string_view data)
{
    // The entry sends each event as one HTTP chunk, and the client hands on whole chunks.
    for (std::size_t at = data.find(TextEvent); at != std::string_view::npos;
         at = data.find(TextEvent, at + TextEvent.size())) {
        ++m_events;
    }
    if (data.size() < TailSize) {
        m_tail = data;
    }
}

void StreamCounter::onEnd(http::HttpEnd end, int /*status*/)
{
    m_ended = true;
    m_done = end == http::HttpEnd::Complete && m_tail.find(DoneMark) != std::string::npos;
}

} // namespace lavendertally::bench
