#pragma once

#include <memory>

namespace lavendertally::http {
class IHttpExchange;
}

namespace lavendertally::frontend {

/// A group of paths in the HTTP interface of a daemon.
class IHttpApi
{
public:
    virtual ~IHttpApi() = default;

    /// Handles the request if its path belongs to this API; the reply may follow later.
    /// \return false if the path belongs to another API; nothing has been done then
    virtual bool handle(const std::shared_ptr<http::IHttpExchange> &exchange) = 0;
};

} // namespace lavendertally::frontend
