#pragma once

#include "configuration/iconfigurationstore.h"
#include "configuration/types/controlrecord.h"
#include "configuration/types/operationoutcome.h"
#include "framework/result.h"
#include "framework/types/ids.h"

#include <optional>
#include <string>
#include <vector>

namespace lavendertally::configuration {

/// State of the control stream up to an offset, as a pure function of its records. Whoever reads
/// the same records reaches the same state, whether from the log, from a peer or from a snapshot.
class IConfigurationReplica : public IConfigurationStore
{
public:
    /// Applies records in order. Records that are already part of the state are skipped; void
    /// ones advance the revision and change nothing else. Records that start past the revision in
    /// force are accepted when a snapshot record among them closes the gap. A reader of a log
    /// whose older records have expired passes page after page until the revision moves, and reads
    /// on from that revision.
    /// \return nothing, or ConfigurationError::OffsetGap when a record does not continue at the
    /// revision in force; the records before it stay applied
    virtual framework::Result<void> applyRecords(const std::vector<ControlRecord> &records) = 0;

    /// \return records from \p revision on, or nothing when not all of them are kept in memory
    virtual std::optional<std::vector<ControlRecord>>
    recordsSince(framework::LogOffset revision) const = 0;

    /// \return the whole state, for restore() and for a snapshot record
    virtual std::string snapshot() const = 0;

    /// Takes over a snapshot; one that is not newer than the state in force is ignored.
    /// \return nothing, or ConfigurationError::InvalidRecord
    virtual framework::Result<void> restore(const std::string &snapshot) = 0;

    /// \return the verdict on a recent operation
    virtual std::optional<OperationOutcome>
    outcome(const framework::OperationId &operation) const = 0;
};

} // namespace lavendertally::configuration
