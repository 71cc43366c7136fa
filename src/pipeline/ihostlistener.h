#pragma once

#include "framework/types/ids.h"
#include "membership/types/hostentry.h"
#include "protocol/types/refusalreason.h"

namespace lavendertally::pipeline {

/// Receives the admission state and configuration revision that host processes report in stage
/// results.
class IHostListener
{
public:
    virtual ~IHostListener() = default;

    /// Called for each stage result that comes from a host process.
    /// \param reason why \p host refused or cancelled the call; None otherwise
    /// \param revision configuration revision of the host process
    virtual void onHostAnswer(const membership::HostEntry &host, protocol::RefusalReason reason,
                              framework::LogOffset revision) = 0;
};

} // namespace lavendertally::pipeline
