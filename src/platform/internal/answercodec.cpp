#include "platform/internal/answercodec.h"

#include "http/decimalfield.h"
#include "http/headerlookup.h"
#include "http/types/httpresponsehead.h"
#include "platform/internal/headerrules.h"
#include "platform/internal/wirenames.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace lavendertally::platform {

namespace {

constexpr int MisdirectedRequest = 421;

} // namespace

std::optional<routing::ServerLoad> decodeServerLoad(std::string_view text)
{
    std::array<std::uint32_t, 3> numbers{};
    const char *position = text.data();
    const char *end = text.data() + text.size();
    for (std::size_t index = 0; index < numbers.size(); ++index) {
        const auto parsed = std::from_chars(position, end, numbers[index]);
        if (parsed.ec != std::errc()) {
            return std::nullopt;
        }
        position = parsed.ptr;
        if (index + 1 < numbers.size() && (position == end || *position++ != ',')) {
            return std::nullopt;
        }
    }
    routing::ServerLoad load{numbers[0], numbers[1], numbers[2]};
    // Servers of older sites send three figures; one that cannot be read counts as missing.
    if (position != end && *position == ',') {
        std::uint32_t workTime = 0;
        const auto parsed = std::from_chars(position + 1, end, workTime);
        if (parsed.ec == std::errc() && workTime > 0) {
            load.workTimePercent = workTime;
        }
    }
    return load;
}

bool saysItLeaves(const http::HttpHeaders &headers)
{
    return http::findHeader(headers, wire::ServerLeaving) == "1";
}

std::optional<framework::Milliseconds> decodeRetryAfter(int status,
                                                        const http::HttpHeaders &headers)
{
    constexpr int Unavailable = 503;
    constexpr double MaxSeconds = 3600.0;
    constexpr double MillisecondsPerSecond = 1000.0;
    const auto text = http::findHeader(headers, wire::RetryAfter);
    const auto seconds = text ? http::parseDecimal(*text) : std::nullopt;
    if (status != Unavailable || !seconds) {
        return std::nullopt;
    }
    return framework::Milliseconds(static_cast<std::int64_t>(
        std::ceil(std::min(*seconds, MaxSeconds) * MillisecondsPerSecond)));
}

std::optional<framework::RequestRate> decodeRateLimit(const http::HttpHeaders &headers)
{
    const auto text = http::findHeader(headers, wire::ServerLimit);
    return text ? http::parseRequestRate(*text) : std::nullopt;
}

proxy::ResponseHead decodeAnswerHead(const http::HttpResponseHead &head)
{
    proxy::ResponseHead answer;
    answer.status = head.status;
    answer.headers = passedOnHeaders(head.headers, {});
    answer.notExecuted = http::findHeader(head.headers, wire::NotExecuted).has_value()
        || head.status == MisdirectedRequest;
    answer.isSigned = http::findHeader(head.headers, wire::Signature).has_value();
    const auto type = http::findHeader(head.headers, "Content-Type");
    answer.endsWithConnection = !head.framed;
    answer.isEventStream = type && type->starts_with(wire::EventStreamType);
    if (const auto load = http::findHeader(head.headers, wire::ServerLoad)) {
        answer.load = decodeServerLoad(*load);
    }
    answer.rateLimit = decodeRateLimit(head.headers);
    answer.retryAfter = decodeRetryAfter(head.status, head.headers);
    return answer;
}

} // namespace lavendertally::platform
