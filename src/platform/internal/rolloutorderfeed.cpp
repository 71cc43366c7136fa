#include "platform/internal/rolloutorderfeed.h"

#include "framework/ilogger.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "framework/types/errorcontext.h"
#include "platform/internal/rolloutcodec.h"
#include "platform/internal/wirenames.h"
#include "platform/types/decodeerror.h"
#include "rollout/irolloutorders.h"

#include <optional>
#include <utility>

namespace lavendertally::platform {

namespace {

/// \return the service that the key of an order names
std::optional<framework::ServiceId> serviceIn(std::string_view key)
{
    // The platform's pages name the topic as a part of the key, which the topic's records may lack.
    if (key.starts_with(wire::OperatorKeyPrefix)) {
        key.remove_prefix(wire::OperatorKeyPrefix.size());
    }
    if (!key.starts_with(wire::RolloutOrderKeyPrefix)) {
        return std::nullopt;
    }
    return framework::ServiceId(std::string(key.substr(wire::RolloutOrderKeyPrefix.size())));
}

} // namespace

RolloutOrderFeed::RolloutOrderFeed(framework::IScheduler &scheduler, framework::ILogger &logger)
    : m_scheduler(scheduler), m_logger(logger)
{ }

RolloutOrderFeed::~RolloutOrderFeed() = default;

void RolloutOrderFeed::apply(const protocol::TopicRecord &record, framework::StoreEra era)
{
    const auto service = serviceIn(record.key);
    if (!service || m_orders == nullptr) {
        return;
    }
    m_kept.erase(*service);
    if (!record.value) {
        remove(*service);
        return;
    }
    const auto refuse = [&](const std::string &problem) {
        m_logger.error("order for a rollout cannot be read; what stood before stays",
                       {{"service", service->value()}, {"problem", problem}});
    };
    framework::leaf::try_handle_all(
        [&]() -> framework::Result<void> {
            BOOST_LEAF_AUTO(order,
                            decodeRolloutOrder(*service, *record.value, {era, record.offset}));
            m_standing.insert(*service);
            m_orders->put(order);
            return {};
        },
        [&](DecodeError /*error*/, const framework::ErrorContext &context) {
            refuse(context.message);
        },
        [&] { refuse("unknown"); });
}

void RolloutOrderFeed::applySnapshot(const std::vector<protocol::TopicRecord> &records,
                                     framework::StoreEra era)
{
    std::set<framework::ServiceId> named;
    for (const protocol::TopicRecord &record : records) {
        const auto service = serviceIn(record.key);
        if (service && record.value) {
            named.insert(*service);
        }
        apply(record, era);
    }
    for (const framework::ServiceId &service : std::set(m_standing)) {
        if (!named.contains(service) && !m_kept.contains(service)) {
            remove(service);
        }
    }
}

void RolloutOrderFeed::onStoreRestored(framework::Milliseconds time)
{
    m_kept = m_standing;
    m_keptTimer = m_scheduler.callAfter(time, [this] {
        for (const framework::ServiceId &service : std::exchange(m_kept, {})) {
            remove(service);
        }
    });
}

void RolloutOrderFeed::remove(const framework::ServiceId &service)
{
    if (m_standing.erase(service) > 0) {
        m_orders->remove(service);
    }
}

} // namespace lavendertally::platform
