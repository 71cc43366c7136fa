#pragma once

#include "admission/types/admissionverdict.h"
#include "admission/types/workkey.h"
#include "protocol/types/refusalreason.h"

namespace lavendertally::admission {

/// Decision on one work item.
struct AdmissionDecision
{
    WorkKey key;
    AdmissionVerdict verdict = AdmissionVerdict::Refuse;
    /// RefusalReason::None unless the verdict is Refuse.
    protocol::RefusalReason reason = protocol::RefusalReason::None;
};

} // namespace lavendertally::admission
