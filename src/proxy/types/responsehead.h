#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/units.h"
#include "http/types/httpheaders.h"
#include "routing/types/serverload.h"

#include <optional>

namespace lavendertally::proxy {

/// Status and headers of a backend server's response.
struct ResponseHead
{
    int status = 0;
    /// Headers that are forwarded to the client unchanged.
    http::HttpHeaders headers;
    /// The backend server states that it did not run the request.
    bool notExecuted = false;
    /// The response carries the backend server's signature and the id of this request. A response
    /// without them may belong to another request on the same connection.
    bool isSigned = false;
    bool isEventStream = false;
    /// The body has neither a length nor chunks; the end of the connection marks its end.
    bool endsWithConnection = false;
    /// Load that the backend server reports with the response.
    std::optional<routing::ServerLoad> load;
    /// Requests per second that the backend server takes from all daemons together.
    std::optional<framework::RequestRate> rateLimit;
    /// Time for which the backend server, which has turned the request away, wants no further one.
    std::optional<framework::Milliseconds> retryAfter;

    bool isSuccess() const
    {
        constexpr int FirstSuccess = 200;
        constexpr int FirstRedirect = 300;
        return status >= FirstSuccess && status < FirstRedirect;
    }
};

} // namespace lavendertally::proxy
