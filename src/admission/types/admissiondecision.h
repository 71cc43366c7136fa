#pragma once

#include "admission/types/admissionverdict.h"
#include "admission/types/workkey.h"
#include "protocol/types/refusalreason.h"

namespace lavendertally::admission {

/// What becomes of one work item.
struct AdmissionDecision
{
    WorkKey key;
    AdmissionVerdict verdict = AdmissionVerdict::Refuse;
    protocol::RefusalReason reason = protocol::RefusalReason::None;
};

} // namespace lavendertally::admission
