#include "platform/internal/responseerrors.h"

#include "http/types/httpresponse.h"

namespace lavendertally::platform {

namespace {

constexpr int Ok = 200;
constexpr int Gone = 410;
constexpr int TooManyRequests = 429;
constexpr int FirstServerError = 500;
constexpr int ServiceUnavailable = 503;

} // namespace

std::optional<PlatformError> readError(const http::HttpResponse &response)
{
    if (response.end == http::HttpEnd::TimedOut) {
        return PlatformError::TimedOut;
    }
    if (response.end != http::HttpEnd::Complete) {
        return PlatformError::Unavailable;
    }
    switch (response.status) {
    case Ok:
        return std::nullopt;
    case Gone:
        return PlatformError::Expired;
    case TooManyRequests:
        return PlatformError::RateLimited;
    default:
        return PlatformError::Unavailable;
    }
}

std::optional<PlatformError> effectError(const http::HttpResponse &response)
{
    if (response.end == http::HttpEnd::NotSent) {
        return PlatformError::Unavailable;
    }
    if (response.end != http::HttpEnd::Complete) {
        return PlatformError::AnswerLost;
    }
    if (response.status == Ok) {
        return std::nullopt;
    }
    if (response.status == TooManyRequests) {
        return PlatformError::RateLimited;
    }
    // Other failures of the server do not tell whether it had acted.
    const bool open = response.status >= FirstServerError && response.status != ServiceUnavailable;
    return open ? PlatformError::AnswerLost : PlatformError::Unavailable;
}

} // namespace lavendertally::platform
