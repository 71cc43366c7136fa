#pragma once

#include "framework/types/timepoint.h"
#include "membership/types/backendserverentry.h"

#include <vector>

namespace lavendertally::routing {

struct ServerQuery;

/// Narrows the choice of backend servers for a call beyond membership, load and rate limits.
class IServerFilter
{
public:
    virtual ~IServerFilter() = default;

    /// Removes the backend servers that the call must not be sent to; keeps the order of the rest.
    /// \param candidates backend servers of the query's service that admit work and are not
    /// excluded
    virtual void restrict(const ServerQuery &query,
                          std::vector<const membership::BackendServerEntry *> &candidates,
                          framework::TimePoint now) = 0;

    /// Removes backend servers that the call is sent to only if none of the rest takes it.
    /// \param candidates backend servers that passed restrict() and can be called now; not all of
    /// them are removed
    virtual void prefer(const ServerQuery & /*query*/,
                        std::vector<const membership::BackendServerEntry *> & /*candidates*/,
                        framework::TimePoint /*now*/)
    { }

    /// Reports that a call was sent to \p server.
    virtual void callStarted(const membership::BackendServerEntry &server,
                             framework::TimePoint now) = 0;

    /// Reports the end of a call, once for each callStarted().
    virtual void callEnded(const framework::BackendServerId & /*server*/,
                           framework::TimePoint /*now*/)
    { }
};

} // namespace lavendertally::routing
