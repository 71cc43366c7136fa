#pragma once

#include "framework/result.h"
#include "framework/types/endpoint.h"
#include "protocol/types/message.h"

#include <functional>
#include <optional>

namespace lavendertally::control {

/// Answers control messages of other daemons.
class IControlServer
{
public:
    /// \return the answer, or nothing to leave the query without one
    using Handler = std::function<std::optional<protocol::Message>(const protocol::Message &)>;

    virtual ~IControlServer() = default;

    /// Sets the handler, called for each query that decodes. Malformed queries are counted and get
    /// no answer.
    virtual void setHandler(Handler handler) = 0;

    /// Starts listening.
    /// \param endpoint port zero lets the kernel choose
    /// \return the endpoint with its real port, or ControlError::ListenFailed
    virtual framework::Result<framework::Endpoint> listen(const framework::Endpoint &endpoint) = 0;
};

} // namespace lavendertally::control
