#pragma once

#include "admission/types/admissionverdict.h"
#include "admission/types/placerefusal.h"
#include "admission/types/returntiming.h"
#include "admission/types/workkey.h"
#include "framework/types/milliseconds.h"

namespace lavendertally::admission {

/// Decision on one PlaceRequest.
struct PlaceDecision
{
    WorkKey key;
    AdmissionVerdict verdict = AdmissionVerdict::Run;
    PlaceRefusal refusal = PlaceRefusal::None;
    /// With a refusal: time until there is expected to be a place.
    framework::Milliseconds retryAfter;
    /// Whether the request came back after a refusal; set by IPlaceAdmission::offer() only.
    ReturnTiming timing = ReturnTiming::None;
};

} // namespace lavendertally::admission
