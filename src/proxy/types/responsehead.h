#pragma once

#include "http/types/httpheaders.h"
#include "routing/types/serverload.h"

#include <optional>

namespace lavendertally::proxy {

/// Status and header fields of a backend server's answer.
struct ResponseHead
{
    int status = 0;
    /// Header fields that are passed on unchanged.
    http::HttpHeaders headers;
    /// The backend server says that it did not run the request.
    bool notExecuted = false;
    /// It carries the backend server's signature.
    bool isSigned = false;
    bool isEventStream = false;
    std::optional<routing::ServerLoad> load;

    bool isSuccess() const
    {
        constexpr int FirstSuccess = 200;
        constexpr int FirstRedirect = 300;
        return status >= FirstSuccess && status < FirstRedirect;
    }
};

} // namespace lavendertally::proxy
