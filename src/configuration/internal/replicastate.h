#pragma once

#include "configuration/internal/fragmentmerger.h"
#include "configuration/internal/replicadata.h"
#include "configuration/types/configuration.h"
#include "configuration/types/operatorchange.h"
#include "framework/result.h"

#include <optional>
#include <string>

namespace lavendertally::configuration {

/// Deterministic state machine that accepts or rejects changes in the order of the control stream.
/// It depends on nothing but the records applied, so that all replicas reach the same outcome.
class ReplicaState
{
public:
    const ReplicaData &data() const { return m_data; }
    framework::LogOffset revision() const { return m_data.revision; }
    const Configuration &configuration() const { return m_configuration; }

    /// Applies the change in the record at the current revision and advances the revision.
    void applyChange(const OperatorChange &change);

    /// Advances the revision past a record that carries no change, such as one that does not
    /// decode.
    void advanceRevision();

    /// Replaces the whole state, as from a snapshot.
    /// \return nothing, or ConfigurationError::InvalidRecord when the files do not validate; the
    /// state is then unchanged
    framework::Result<void> replace(ReplicaData data);

    std::optional<OperationOutcome> outcome(const framework::OperationId &operation) const;

private:
    /// Why a change is rejected; nothing when it is accepted.
    using RejectionReason = std::optional<std::string>;

    RejectionReason apply(const ApplyFiles &change);
    RejectionReason apply(const SetZoneOutOfService &change);
    RejectionReason apply(const SetHostOutOfService &change);
    RejectionReason checkBaseRevision(const ApplyFiles &change, const std::string &name) const;
    RejectionReason checkFiles(const ApplyFiles &change) const;
    RejectionReason checkSize(const ApplyFiles &change) const;
    /// Parses the changed files only and reuses the fragments of the others.
    framework::Result<FragmentMap> fragmentsWith(const ApplyFiles &change) const;
    void storeFiles(const ApplyFiles &change);
    void pruneRemovals();
    void recordOutcome(const framework::OperationId &operation, const RejectionReason &reason);

    ReplicaData m_data;
    FragmentMap m_fragments;
    Configuration m_configuration;
};

} // namespace lavendertally::configuration
