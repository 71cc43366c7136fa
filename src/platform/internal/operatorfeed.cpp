#include "platform/internal/operatorfeed.h"

#include "framework/ilogger.h"
#include "framework/imetrics.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "framework/types/errorcontext.h"
#include "membership/ibackendserverupdates.h"
#include "platform/internal/configurationcodec.h"
#include "platform/internal/wirenames.h"
#include "platform/types/decodeerror.h"
#include "serving/iservingupdates.h"
#include "serving/types/servingconfiguration.h"

namespace lavendertally::platform {

namespace {

/// The store answers at once when there is a change; the wait bounds the age of the confirmation
/// that there is none, which must stay well under the time in which a revoked key may still work.
constexpr TopicPace Pace{framework::Milliseconds(750), framework::Milliseconds(0),
                         framework::Milliseconds(0)};

/// Within this time after the store was restored, operators have written again what it lost.
constexpr framework::Milliseconds RewriteTime{10000};

} // namespace

OperatorFeed::OperatorFeed(StoreClient &store, framework::IScheduler &scheduler,
                           const framework::IClock &clock, framework::ILogger &logger,
                           framework::IMetrics &metrics, serving::IServingUpdates &serving,
                           membership::IBackendServerUpdates &servers)
    : m_logger(logger), m_metrics(metrics), m_store(store), m_serving(serving), m_servers(servers),
      m_scheduler(scheduler), m_rollouts(scheduler, logger),
      m_reader(store, scheduler, clock, logger, std::string(wire::OperatorTopic), Pace, m_replica)
{ }

OperatorFeed::~OperatorFeed() = default;

void OperatorFeed::onSnapshot(const std::vector<protocol::TopicRecord> &records)
{
    m_zonesOut.clear();
    for (const protocol::TopicRecord &record : records) {
        apply(record);
    }
    publishZones();
    m_rollouts.applySnapshot(records, m_replica.era());
}

void OperatorFeed::publishZones()
{
    std::set<framework::AvailabilityZoneId> zones = m_zonesOut;
    zones.insert(m_keptZones.begin(), m_keptZones.end());
    m_servers.setZonesOut(std::move(zones));
}

void OperatorFeed::onStoreRestored()
{
    m_keptZones.insert(m_zonesOut.begin(), m_zonesOut.end());
    m_rollouts.onStoreRestored(RewriteTime);
    m_keptZonesTimer = m_scheduler.callAfter(RewriteTime, [this] {
        m_keptZones.clear();
        publishZones();
    });
}

/// Versions of the configuration only rise. Other records have none: what the store says is in
/// force.
std::optional<protocol::RecordVersion>
OperatorFeed::version(const protocol::TopicRecord &record) const
{
    if (record.key != wire::ConfigurationKey || !record.value) {
        return std::nullopt;
    }
    return framework::leaf::try_handle_all(
        [&]() -> framework::Result<std::optional<protocol::RecordVersion>> {
            BOOST_LEAF_AUTO(configuration, decode(*record.value));
            return protocol::RecordVersion{
                {}, framework::ReportNumber(configuration->version().value())};
        },
        [&]() -> std::optional<protocol::RecordVersion> {
            // One that cannot be used is as new as its number all the same.
            const auto number = decodeConfigurationVersion(*record.value);
            if (!number) {
                return std::nullopt;
            }
            return protocol::RecordVersion{{}, framework::ReportNumber(number->value())};
        });
}

void OperatorFeed::onOutdated(const protocol::TopicRecord &record)
{
    m_logger.info("configuration is older than the one known; it is ignored",
                  {{"key", record.key}, {"offset", std::to_string(record.offset.value())}});
}

framework::Result<std::shared_ptr<const serving::ServingConfiguration>>
OperatorFeed::decode(const std::string &text) const
{
    if (!m_decoded || text != m_decodedText) {
        BOOST_LEAF_ASSIGN(m_decoded, decodeConfiguration(text));
        m_decodedText = text;
    }
    return m_decoded;
}

bool OperatorFeed::onRecord(const protocol::TopicRecord &record)
{
    apply(record);
    publishZones();
    m_rollouts.apply(record, m_replica.era());
    return true;
}

void OperatorFeed::onConfirmed(framework::TimePoint instant)
{
    m_store.availability().noteAnswered(instant);
    m_serving.confirm(instant);
}

void OperatorFeed::apply(const protocol::TopicRecord &record)
{
    if (record.key == wire::ConfigurationKey && record.value) {
        applyConfiguration(*record.value);
        return;
    }
    if (!record.key.starts_with(wire::EvacuateKeyPrefix)) {
        return;
    }
    const framework::AvailabilityZoneId zone(record.key.substr(wire::EvacuateKeyPrefix.size()));
    m_keptZones.erase(zone);
    if (record.value) {
        m_zonesOut.insert(zone);
    } else {
        m_zonesOut.erase(zone);
    }
}

void OperatorFeed::applyConfiguration(const std::string &text)
{
    framework::leaf::try_handle_all(
        [&]() -> framework::Result<void> {
            BOOST_LEAF_AUTO(configuration, decode(text));
            m_serving.applyConfiguration(std::move(configuration));
            return {};
        },
        [&](DecodeError /*error*/, const framework::ErrorContext &context) {
            rejectConfiguration(text, context.message);
        },
        [&] { rejectConfiguration(text, "unknown"); });
}

/// Keys that it takes away are not known, so the version in force is not confirmed any more and no
/// key is accepted once the confirmation is too old.
void OperatorFeed::rejectConfiguration(const std::string &text, const std::string &problem)
{
    const auto version = decodeConfigurationVersion(text);
    m_logger.error("newest configuration cannot be used; the one in force is no longer confirmed",
                   {{"problem", problem},
                    {"version", version ? std::to_string(version->value()) : "unknown"}});
    m_metrics.increment("lavendertally_configurations_rejected_total", {});
    m_serving.rejectConfiguration(version);
}

} // namespace lavendertally::platform
