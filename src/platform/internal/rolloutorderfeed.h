#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "protocol/types/topicrecord.h"

#include <memory>
#include <set>
#include <vector>

namespace lavendertally::framework {
class ILogger;
class IScheduler;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::rollout {
class IRolloutOrders;
}

namespace lavendertally::platform {

/// Hands on the orders for rollouts among the records of the operators' topic.
class RolloutOrderFeed
{
public:
    RolloutOrderFeed(framework::IScheduler &scheduler, framework::ILogger &logger);
    ~RolloutOrderFeed();
    RolloutOrderFeed(const RolloutOrderFeed &) = delete;
    RolloutOrderFeed &operator=(const RolloutOrderFeed &) = delete;

    /// \param orders outlives the feed; null drops all orders
    void setOrders(rollout::IRolloutOrders *orders) { m_orders = orders; }

    /// Takes a record of the topic; those with other keys are passed over.
    /// \param era of the store to which the record's offset belongs
    void apply(const protocol::TopicRecord &record, framework::StoreEra era);

    /// The topic has these records and no others.
    void applySnapshot(const std::vector<protocol::TopicRecord> &records, framework::StoreEra era);

    /// The store came back from a copy. Orders that it lacks stand until operators had the time to
    /// write them again.
    /// \param time until then
    void onStoreRestored(framework::Milliseconds time);

private:
    void remove(const framework::ServiceId &service);

    framework::IScheduler &m_scheduler;
    framework::ILogger &m_logger;
    rollout::IRolloutOrders *m_orders = nullptr;
    std::set<framework::ServiceId> m_standing;
    /// Orders from before the store was restored that have not been written again.
    std::set<framework::ServiceId> m_kept;
    std::unique_ptr<framework::ITimer> m_keptTimer;
};

} // namespace lavendertally::platform
