#pragma once

namespace lavendertally::standins {

/// Status codes that the stand-ins answer with.
struct HttpStatus
{
    static constexpr int Ok = 200;
    static constexpr int BadRequest = 400;
    static constexpr int NotFound = 404;
    static constexpr int Conflict = 409;
    static constexpr int Gone = 410;
    static constexpr int TooManyRequests = 429;
    static constexpr int ServiceUnavailable = 503;
};

} // namespace lavendertally::standins
