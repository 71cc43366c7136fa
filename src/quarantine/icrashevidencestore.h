#pragma once

#include "framework/types/timepoint.h"
#include "protocol/types/crashevidence.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace lavendertally::quarantine {

/// Evidence of crashes as daemons exchange it. Merging is commutative and idempotent, so the order
/// and number of reports do not matter.
class ICrashEvidenceStore
{
public:
    using Evidence = std::vector<protocol::CrashEvidence>;

    virtual ~ICrashEvidenceStore() = default;

    /// \return all evidence that has not expired
    virtual Evidence evidence(framework::TimePoint now) const = 0;

    /// Hash of the evidence without its ages; equal at two daemons that know the same. Zero if
    /// there is none.
    virtual std::uint64_t fingerprint(framework::TimePoint now) const = 0;

    /// Adds what another daemon knows. Changes are handed to the listener like own ones.
    virtual void merge(const Evidence &evidence, framework::TimePoint now) = 0;

    /// \param listener receives evidence that is new or has changed, within the call that causes it
    virtual void onChange(std::function<void(const protocol::CrashEvidence &)> listener) = 0;
};

} // namespace lavendertally::quarantine
