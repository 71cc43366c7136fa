#pragma once

#include "framework/result.h"
#include "framework/types/endpoint.h"
#include "framework/types/milliseconds.h"
#include "protocol/types/message.h"

#include <functional>

namespace lavendertally::control {

/// Sends control messages to other daemons. Queries are idempotent.
class IControlClient
{
public:
    using Callback = std::function<void(framework::Result<protocol::Message>)>;

    virtual ~IControlClient() = default;

    /// Sends one query.
    /// \param callback called once with the answer or ControlError, never from within this
    /// function and not after this object is destroyed
    virtual void sendQuery(const framework::Endpoint &peer, const protocol::Message &query,
                           framework::Milliseconds timeout, Callback callback) = 0;
};

} // namespace lavendertally::control
