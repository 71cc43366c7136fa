#include "control/internal/replicaupdater.h"

#include "configuration/iconfigurationreplica.h"
#include "configuration/icontrolrecordcodec.h"
#include "configuration/types/configurationview.h"
#include "control/isnapshotpolicy.h"
#include "framework/iclock.h"
#include "framework/imetrics.h"

#include <variant>

namespace lavendertally::control {

ReplicaUpdater::ReplicaUpdater(configuration::IConfigurationReplica &replica,
                               const configuration::IControlRecordCodec &codec,
                               ISnapshotPolicy &snapshotPolicy, const framework::IClock &clock,
                               framework::IMetrics &metrics)
    : m_replica(replica), m_codec(codec), m_snapshotPolicy(snapshotPolicy), m_clock(clock),
      m_metrics(metrics)
{ }

framework::LogOffset ReplicaUpdater::revision() const
{
    return m_replica.current()->revision;
}

bool ReplicaUpdater::applyRecords(const std::vector<configuration::ControlRecord> &records)
{
    detectSnapshots(records);
    const bool applied = static_cast<bool>(m_replica.applyRecords(records));
    if (!applied) {
        m_metrics.increment("lavendertally_control_gaps_total", {});
    }
    return applied;
}

bool ReplicaUpdater::restore(const std::string &snapshot)
{
    const bool valid = static_cast<bool>(m_replica.restore(snapshot));
    if (!valid) {
        m_metrics.increment("lavendertally_control_dropped_total", {{"reason", "bad_snapshot"}});
    }
    return valid;
}

void ReplicaUpdater::detectSnapshots(const std::vector<configuration::ControlRecord> &records)
{
    const framework::LogOffset known = revision();
    for (const configuration::ControlRecord &record : records) {
        if (record.offset < known) {
            continue;
        }
        const auto content = m_codec.decode(record.data);
        if (content && std::holds_alternative<configuration::SnapshotRecord>(content.value())) {
            m_snapshotPolicy.noteSnapshot(m_clock.now());
        }
    }
}

} // namespace lavendertally::control
