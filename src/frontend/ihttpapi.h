#pragma once

#include <memory>

namespace lavendertally::http {
class IHttpExchange;
}

namespace lavendertally::frontend {

/// Part of a daemon's HTTP interface.
class IHttpApi
{
public:
    virtual ~IHttpApi() = default;

    /// \return false when the path belongs to somebody else
    virtual bool handle(const std::shared_ptr<http::IHttpExchange> &exchange) = 0;
};

} // namespace lavendertally::frontend
