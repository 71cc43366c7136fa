#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"
#include "framework/types/units.h"

#include <optional>

namespace lavendertally::ratelimit {

class IRateLimitStore;

/// Tells whether a request may be sent to a backend server. One that names no rate limit takes any
/// number; one that does gets a request only for a permit, so that all daemons together keep the
/// limit.
class IServerRateLimits
{
public:
    virtual ~IServerRateLimits() = default;

    /// Reports an answer of a backend server.
    /// \param named the requests per second that the answer names, if it does
    /// \param callSent when the request was sent; a limit ends with an answer to a later request
    virtual void observeAnswer(const framework::BackendServerId &server,
                               std::optional<framework::RequestRate> named,
                               framework::TimePoint callSent, framework::TimePoint now) = 0;

    /// \return whether a request may be sent to \p server now. If not, a permit is asked for.
    virtual bool mayCall(const framework::BackendServerId &server, framework::TimePoint now) = 0;

    /// Reports that a request was sent to \p server; it uses up a permit if the server is limited.
    virtual void callSent(const framework::BackendServerId &server, framework::TimePoint now) = 0;

    /// \return the rate that \p server names; nothing if it names none
    virtual std::optional<framework::RequestRate>
    rateOf(const framework::BackendServerId &server) const = 0;

    /// \return what daemons tell each other
    virtual IRateLimitStore &store() = 0;
};

} // namespace lavendertally::ratelimit
