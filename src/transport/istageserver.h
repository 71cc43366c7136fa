#pragma once

#include <memory>

namespace lavendertally::http {
class IHttpExchange;
}

namespace lavendertally::transport {

/// Decodes HTTP requests of the inner protocol and passes them to an IStageHandler.
class IStageServer
{
public:
    virtual ~IStageServer() = default;

    /// Handles a request to the path of stage calls; an invalid message is rejected with status
    /// 400. \return false if the request has another path; nothing has been done then
    virtual bool handle(const std::shared_ptr<http::IHttpExchange> &exchange) = 0;
};

} // namespace lavendertally::transport
