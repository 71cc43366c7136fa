#include "infrastructure/internal/httpweightstore.h"

#include "framework/asyncerror.h"
#include "framework/iclock.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "infrastructure/internal/responseerrors.h"

#include <strings.h>

#include <cctype>
#include <charconv>
#include <cstdio>
#include <utility>

namespace lavendertally::infrastructure {

namespace {

constexpr std::int64_t MillisecondsPerSecond = 1000;
/// Used when the store does not tell a time.
constexpr framework::Milliseconds DefaultRetryAfter{1000};
constexpr std::uint32_t MaxRetryAfterSeconds = 3600;

std::string percentEncoded(const std::string &text)
{
    std::string result;
    for (const unsigned char character : text) {
        if (std::isalnum(character) != 0 || character == '-' || character == '.'
            || character == '_') {
            result.push_back(static_cast<char>(character));
            continue;
        }
        char escape[4];
        std::snprintf(escape, sizeof escape, "%%%02X", character);
        result.append(escape);
    }
    return result;
}

framework::Milliseconds retryAfter(const http::HttpHeaders &headers)
{
    for (const auto &[name, value] : headers) {
        if (strcasecmp(name.c_str(), "Retry-After") != 0) {
            continue;
        }
        std::uint32_t seconds = 0;
        const auto [end, error] =
            std::from_chars(value.data(), value.data() + value.size(), seconds);
        const bool valid = error == std::errc() && end == value.data() + value.size() && seconds > 0
            && seconds <= MaxRetryAfterSeconds;
        if (valid) {
            return framework::Milliseconds(seconds * MillisecondsPerSecond);
        }
    }
    return DefaultRetryAfter;
}

} // namespace

HttpWeightStore::HttpWeightStore(http::IHttpClient &client, framework::IScheduler &scheduler,
                                 const framework::IClock &clock,
                                 const framework::Endpoint &endpoint)
    : m_scheduler(scheduler), m_clock(clock), m_connection(client, endpoint)
{ }

HttpWeightStore::~HttpWeightStore() = default;

void HttpWeightStore::fetch(const framework::ModelId &model, framework::Milliseconds timeout,
                            std::function<void(framework::Result<std::string>)> callback)
{
    const std::uint64_t id = m_nextId++;
    m_downloads[id] = {"/v1/models/" + percentEncoded(model.value()) + "/weights",
                       m_clock.now() + timeout, std::move(callback), nullptr};
    attempt(id);
}

void HttpWeightStore::attempt(std::uint64_t id)
{
    const Download &download = m_downloads[id];
    m_connection.get(
        download.target, download.deadline - m_clock.now(),
        [this, id](http::HttpResponse response) { finishAttempt(id, std::move(response)); });
}

void HttpWeightStore::finishAttempt(std::uint64_t id, http::HttpResponse response)
{
    const auto error = readError(response);
    if (error == InfrastructureError::RateLimited && retryLater(id, response)) {
        return;
    }
    // Nothing of this object is used after the callback, which may destroy it.
    const auto node = m_downloads.extract(id);
    if (error) {
        node.mapped().callback(framework::asyncError<std::string>(*error));
        return;
    }
    node.mapped().callback(std::move(response.body));
}

bool HttpWeightStore::retryLater(std::uint64_t id, const http::HttpResponse &response)
{
    Download &download = m_downloads[id];
    const framework::Milliseconds delay = retryAfter(response.headers);
    if (m_clock.now() + delay >= download.deadline) {
        return false;
    }
    download.retry = m_scheduler.callAfter(delay, [this, id] { attempt(id); });
    return true;
}

} // namespace lavendertally::infrastructure
