#pragma once

#include "configuration/iconfigurationreplica.h"
#include "configuration/internal/recordbuffer.h"
#include "configuration/internal/replicastate.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lavendertally::configuration {

class IControlRecordCodec;
struct SnapshotRecord;

/// Replica that keeps the newest records of the control stream in a bounded buffer.
class ConfigurationReplica final : public IConfigurationReplica
{
public:
    ConfigurationReplica(std::unique_ptr<IControlRecordCodec> codec, framework::Bytes recordBuffer);
    ~ConfigurationReplica() override;

    std::shared_ptr<const ConfigurationView> current() const override { return m_view; }
    void onChange(std::function<void()> observer) override;
    framework::Result<void> applyRecords(const std::vector<ControlRecord> &records) override;
    std::optional<std::vector<ControlRecord>>
    recordsSince(framework::LogOffset revision) const override;
    std::string snapshot() const override;
    framework::Result<void> restore(const std::string &snapshot) override;
    std::optional<OperationOutcome> outcome(const framework::OperationId &operation) const override;

private:
    framework::Result<void> applyInOrder(const std::vector<ControlRecord> &records);
    void applyRecord(const ControlRecord &record);
    void restoreFromRecords(const std::vector<ControlRecord> &records);
    std::optional<SnapshotRecord> snapshotIn(const ControlRecord &record) const;
    framework::Result<void> installSnapshot(ReplicaData data);
    /// Replaces the view and notifies the observers if the revision has changed.
    void publish();

    std::unique_ptr<IControlRecordCodec> m_codec;
    RecordBuffer m_buffer;
    ReplicaState m_state;
    std::shared_ptr<const ConfigurationView> m_view;
    std::vector<std::function<void()>> m_observers;
};

} // namespace lavendertally::configuration
