#pragma once

#include "configuration/internal/fragmentmerger.h"
#include "configuration/internal/replicadata.h"
#include "configuration/types/configuration.h"
#include "configuration/types/operatorchange.h"
#include "framework/result.h"

#include <optional>
#include <string>

namespace lavendertally::configuration {

/// Judges changes in the order of the control stream. Depends on nothing but the records it was
/// given, so that all replicas judge alike.
class ReplicaState
{
public:
    const ReplicaData &data() const { return m_data; }
    framework::LogOffset revision() const { return m_data.revision; }
    const Configuration &configuration() const { return m_configuration; }

    /// Applies the record at the revision in force.
    void applyChange(const OperatorChange &change);

    /// Passes over a record that changes nothing.
    void skipRecord();

    /// Replaces everything.
    /// \return nothing, or ConfigurationError::InvalidRecord when the files do not validate; the
    /// state is then unchanged
    framework::Result<void> replace(ReplicaData data);

    std::optional<OperationOutcome> outcome(const framework::OperationId &operation) const;

private:
    /// Why a change is void; nothing when it was accepted.
    using RejectionReason = std::optional<std::string>;

    RejectionReason apply(const ApplyFiles &change);
    RejectionReason apply(const SetZoneOutOfService &change);
    RejectionReason apply(const SetHostOutOfService &change);
    RejectionReason checkBase(const ApplyFiles &change, const std::string &name) const;
    RejectionReason checkNames(const ApplyFiles &change) const;
    RejectionReason checkSize(const ApplyFiles &change) const;
    /// Parses the changed files only.
    framework::Result<FragmentMap> fragmentsWith(const ApplyFiles &change) const;
    void storeFiles(const ApplyFiles &change);
    void forgetOldRemovals();
    void recordOutcome(const framework::OperationId &operation, const RejectionReason &reason);

    ReplicaData m_data;
    FragmentMap m_fragments;
    Configuration m_configuration;
};

} // namespace lavendertally::configuration
