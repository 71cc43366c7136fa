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

/// Replicated state machine over the control stream. Its state is a pure function of the records up
/// to an offset, so replicas that have applied the same prefix hold the same state, whether they
/// got it from the log, from a peer or from a snapshot.
class IConfigurationReplica : public IConfigurationStore
{
public:
    /// Applies records in order. Records that are already part of the state are skipped. Records
    /// that do not decode and changes that are rejected advance the revision and leave the
    /// configuration as it is. Records that start past the current revision are accepted when a
    /// snapshot record among them closes the gap. A reader of a log whose older records have
    /// expired passes in page after page until the revision advances, and continues from there.
    /// \param records records in order of their offsets
    /// \return nothing, or ConfigurationError::OffsetGap when a record's offset lies past the
    /// current revision; the records before it stay applied
    virtual framework::Result<void> applyRecords(const std::vector<ControlRecord> &records) = 0;

    /// \return the records from offset \p revision on, none when the replica is not ahead of
    /// \p revision; nothing when not all of them are still in memory
    virtual std::optional<std::vector<ControlRecord>>
    recordsSince(framework::LogOffset revision) const = 0;

    /// \return the whole state in serialized form, for restore() and for SnapshotRecord::state
    virtual std::string snapshot() const = 0;

    /// Replaces the state by a snapshot; a snapshot that is not newer than the current state is
    /// ignored.
    /// \param snapshot what snapshot() of another replica returned
    /// \return nothing, or ConfigurationError::InvalidRecord when the snapshot does not decode or
    /// its files do not validate; the state is then unchanged
    virtual framework::Result<void> restore(const std::string &snapshot) = 0;

    /// \return the outcome of an operation, or nothing when it was not seen or is no longer among
    /// the recent ones that are kept
    virtual std::optional<OperationOutcome>
    outcome(const framework::OperationId &operation) const = 0;
};

} // namespace lavendertally::configuration
