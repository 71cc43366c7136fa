#include "infrastructure/internal/responseerrors.h"

#include "http/types/httpresponse.h"

namespace lavendertally::infrastructure {

namespace {

constexpr int Ok = 200;
constexpr int Gone = 410;
constexpr int TooManyRequests = 429;
constexpr int FirstServerError = 500;
constexpr int ServiceUnavailable = 503;

} // namespace

std::optional<InfrastructureError> readError(const http::HttpResponse &response)
{
    if (response.end == http::HttpEnd::TimedOut) {
        return InfrastructureError::TimedOut;
    }
    if (response.end != http::HttpEnd::Complete) {
        return InfrastructureError::Unavailable;
    }
    switch (response.status) {
    case Ok:
        return std::nullopt;
    case Gone:
        return InfrastructureError::Expired;
    case TooManyRequests:
        return InfrastructureError::RateLimited;
    default:
        return InfrastructureError::Unavailable;
    }
}

std::optional<InfrastructureError> effectError(const http::HttpResponse &response)
{
    if (http::isUnsent(response.end)) {
        return InfrastructureError::Unavailable;
    }
    if (response.end != http::HttpEnd::Complete) {
        return InfrastructureError::AnswerLost;
    }
    if (response.status == Ok) {
        return std::nullopt;
    }
    if (response.status == TooManyRequests) {
        return InfrastructureError::RateLimited;
    }
    // Other failures of the server do not tell whether it had acted.
    const bool open = response.status >= FirstServerError && response.status != ServiceUnavailable;
    return open ? InfrastructureError::AnswerLost : InfrastructureError::Unavailable;
}

} // namespace lavendertally::infrastructure
