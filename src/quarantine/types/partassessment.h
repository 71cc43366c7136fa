#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "quarantine/types/partstanding.h"

namespace lavendertally::quarantine {

/// Worst standing among the parts of a prompt.
struct PartAssessment
{
    PartStanding standing = PartStanding::Clear;
    /// The part with that standing; meaningless if all are clear.
    framework::PromptPartId part;
    /// Whether an attempt that tries a suspected part is in flight at this daemon.
    bool isOnTrial = false;
    /// Time after which the standing may be better.
    framework::Milliseconds retryAfter;
};

} // namespace lavendertally::quarantine
