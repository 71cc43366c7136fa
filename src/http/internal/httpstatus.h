#pragma once

namespace lavendertally::http {

/// Status codes that the server itself answers with, or that the client treats in its own way.
struct HttpStatus
{
    static constexpr int Continue = 100;
    static constexpr int SwitchingProtocols = 101;
    static constexpr int Ok = 200;
    static constexpr int NoContent = 204;
    static constexpr int NotModified = 304;
    static constexpr int BadRequest = 400;
    static constexpr int RequestTimeout = 408;
    static constexpr int PayloadTooLarge = 413;
    static constexpr int HeaderFieldsTooLarge = 431;
    static constexpr int ServiceUnavailable = 503;
};

} // namespace lavendertally::http
