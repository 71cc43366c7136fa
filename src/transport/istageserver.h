#pragma once

#include <memory>

namespace lavendertally::http {
class IHttpExchange;
}

namespace lavendertally::transport {

/// Turns HTTP requests of the inner protocol into stage requests.
class IStageServer
{
public:
    virtual ~IStageServer() = default;

    /// \return false when the path belongs to somebody else
    virtual bool handle(const std::shared_ptr<http::IHttpExchange> &exchange) = 0;
};

} // namespace lavendertally::transport
