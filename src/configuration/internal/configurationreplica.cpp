#include "configuration/internal/configurationreplica.h"

#include "configuration/icontrolrecordcodec.h"
#include "configuration/internal/snapshotcodec.h"
#include "configuration/types/configurationerror.h"
#include "configuration/types/configurationview.h"

#include <cstddef>
#include <utility>
#include <variant>

namespace lavendertally::configuration {

ConfigurationReplica::ConfigurationReplica(std::unique_ptr<IControlRecordCodec> codec,
                                           framework::Bytes recordBuffer)
    : m_codec(std::move(codec)), m_buffer(recordBuffer),
      m_view(std::make_shared<ConfigurationView>())
{ }

ConfigurationReplica::~ConfigurationReplica() = default;

void ConfigurationReplica::onChange(std::function<void()> observer)
{
    m_observers.push_back(std::move(observer));
}

framework::Result<void>
ConfigurationReplica::applyRecords(const std::vector<ControlRecord> &records)
{
    auto result = applyInOrder(records);
    publish();
    return result;
}

framework::Result<void>
ConfigurationReplica::applyInOrder(const std::vector<ControlRecord> &records)
{
    for (const ControlRecord &record : records) {
        if (record.offset > m_state.revision()) {
            restoreFromRecords(records);
        }
        if (record.offset > m_state.revision()) {
            return framework::leaf::new_error(ConfigurationError::OffsetGap);
        }
        if (record.offset == m_state.revision()) {
            applyRecord(record);
        }
    }
    return {};
}

void ConfigurationReplica::applyRecord(const ControlRecord &record)
{
    const auto content = m_codec->decode(record.data);
    const OperatorChange *change =
        content ? std::get_if<OperatorChange>(&content.value()) : nullptr;
    if (change != nullptr) {
        m_state.applyChange(*change);
    } else {
        m_state.advanceRevision();
    }
    m_buffer.push(record);
}

void ConfigurationReplica::restoreFromRecords(const std::vector<ControlRecord> &records)
{
    std::optional<SnapshotRecord> newest;
    for (const ControlRecord &record : records) {
        auto candidate = snapshotIn(record);
        if (candidate && (!newest || candidate->revision > newest->revision)) {
            newest = std::move(candidate);
        }
    }
    if (!newest) {
        return;
    }
    auto data = decodeSnapshot(newest->state);
    if (data && data.value().revision == newest->revision) {
        // If the files do not validate, the revision stays and the caller reports the gap.
        (void)installSnapshot(std::move(data.value()));
    }
}

std::optional<SnapshotRecord> ConfigurationReplica::snapshotIn(const ControlRecord &record) const
{
    auto content = m_codec->decode(record.data);
    auto *snapshot = content ? std::get_if<SnapshotRecord>(&content.value()) : nullptr;
    // A snapshot cannot contain the effect of records past its own offset; such a record is
    // invalid.
    if (snapshot == nullptr || snapshot->revision > record.offset) {
        return std::nullopt;
    }
    return std::move(*snapshot);
}

framework::Result<void> ConfigurationReplica::installSnapshot(ReplicaData data)
{
    if (data.revision <= m_state.revision()) {
        return {};
    }
    BOOST_LEAF_CHECK(m_state.replace(std::move(data)));
    m_buffer.restartAt(m_state.revision());
    return {};
}

std::optional<std::vector<ControlRecord>>
ConfigurationReplica::recordsSince(framework::LogOffset revision) const
{
    return m_buffer.since(revision);
}

std::string ConfigurationReplica::snapshot() const
{
    return encodeSnapshot(m_state.data());
}

framework::Result<void> ConfigurationReplica::restore(const std::string &snapshot)
{
    BOOST_LEAF_AUTO(data, decodeSnapshot(snapshot));
    BOOST_LEAF_CHECK(installSnapshot(std::move(data)));
    publish();
    return {};
}

std::optional<OperationOutcome>
ConfigurationReplica::outcome(const framework::OperationId &operation) const
{
    return m_state.outcome(operation);
}

void ConfigurationReplica::publish()
{
    if (m_state.revision() == m_view->revision) {
        return;
    }
    auto view = std::make_shared<ConfigurationView>();
    view->revision = m_state.revision();
    view->configuration = m_state.configuration();
    view->zonesOutOfService = m_state.data().zonesOutOfService;
    view->hostsOutOfService = m_state.data().hostsOutOfService;
    m_view = std::move(view);
    // Copied because an observer may register another one during the call.
    const auto observers = m_observers;
    for (const auto &observer : observers) {
        observer();
    }
}

} // namespace lavendertally::configuration
