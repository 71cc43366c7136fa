#pragma once

#include "configuration/types/controlrecord.h"
#include "framework/types/ids.h"

#include <string>
#include <vector>

namespace lavendertally::configuration {
class IConfigurationReplica;
class IControlRecordCodec;
} // namespace lavendertally::configuration

namespace lavendertally::framework {
class IClock;
class IMetrics;
} // namespace lavendertally::framework

namespace lavendertally::control {

class ISnapshotPolicy;

/// Applies records and snapshots from the log or a peer to the replica, and reports snapshot
/// records to the snapshot policy.
class ReplicaUpdater
{
public:
    ReplicaUpdater(configuration::IConfigurationReplica &replica,
                   const configuration::IControlRecordCodec &codec, ISnapshotPolicy &snapshotPolicy,
                   const framework::IClock &clock, framework::IMetrics &metrics);

    /// \return whether the records continued at the revision in force
    bool applyRecords(const std::vector<configuration::ControlRecord> &records);

    /// \return whether the snapshot was valid
    bool restore(const std::string &snapshot);

    framework::LogOffset revision() const;
    configuration::IConfigurationReplica &replica() { return m_replica; }

private:
    void detectSnapshots(const std::vector<configuration::ControlRecord> &records);

    configuration::IConfigurationReplica &m_replica;
    const configuration::IControlRecordCodec &m_codec;
    ISnapshotPolicy &m_snapshotPolicy;
    const framework::IClock &m_clock;
    framework::IMetrics &m_metrics;
};

} // namespace lavendertally::control
