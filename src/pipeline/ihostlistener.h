#pragma once

#include "framework/types/ids.h"
#include "membership/types/hostentry.h"
#include "protocol/types/refusalreason.h"

namespace lavendertally::pipeline {

/// Hears what host processes say about themselves in their answers.
class IHostListener
{
public:
    virtual ~IHostListener() = default;

    /// \param reason why \p host refused the call; None when it did not
    /// \param revision configuration revision of its process
    virtual void onHostAnswer(const membership::HostEntry &host, protocol::RefusalReason reason,
                              framework::LogOffset revision) = 0;
};

} // namespace lavendertally::pipeline
