#pragma once

#include "framework/types/ids.h"
#include "membership/types/hostentry.h"

namespace lavendertally::pipeline {

/// Hears which configuration revision other daemons have.
class IRevisionListener
{
public:
    virtual ~IRevisionListener() = default;

    /// \param host daemon whose message carried \p revision
    virtual void onPeerRevision(const membership::HostEntry &host,
                                framework::LogOffset revision) = 0;
};

} // namespace lavendertally::pipeline
