#include "platform/internal/operatorfeed.h"

#include "framework/ilogger.h"
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
constexpr TopicPace Pace{framework::Milliseconds(750), framework::Milliseconds(0)};

} // namespace

OperatorFeed::OperatorFeed(StoreClient &store, framework::IScheduler &scheduler,
                           const framework::IClock &clock, framework::ILogger &logger,
                           serving::IServingUpdates &serving,
                           membership::IBackendServerUpdates &servers)
    : m_logger(logger), m_serving(serving), m_servers(servers),
      m_reader(store, scheduler, clock, logger, std::string(wire::OperatorTopic), Pace, m_replica)
{ }

void OperatorFeed::onSnapshot(const std::vector<protocol::TopicRecord> &records)
{
    m_zonesOut.clear();
    for (const protocol::TopicRecord &record : records) {
        apply(record);
    }
    m_servers.setZonesOut(m_zonesOut);
}

bool OperatorFeed::onRecord(const protocol::TopicRecord &record)
{
    apply(record);
    m_servers.setZonesOut(m_zonesOut);
    return true;
}

void OperatorFeed::onConfirmed(framework::TimePoint instant)
{
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
            BOOST_LEAF_AUTO(configuration, decodeConfiguration(text));
            m_serving.applyConfiguration(std::move(configuration));
            return {};
        },
        [&](DecodeError /*error*/, const framework::ErrorContext &context) {
            m_logger.error("configuration cannot be read; the one in force stays",
                           {{"problem", context.message}});
        },
        [&] { m_logger.error("configuration cannot be read; the one in force stays"); });
}

} // namespace lavendertally::platform
