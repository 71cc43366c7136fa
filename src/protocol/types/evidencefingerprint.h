#pragma once

#include "framework/types/ordinal.h"

namespace lavendertally::protocol {

struct EvidenceFingerprintTag;

/// Hash of the crash evidence that a daemon knows; zero if it knows none.
using EvidenceFingerprint = framework::Ordinal<EvidenceFingerprintTag>;

} // namespace lavendertally::protocol
