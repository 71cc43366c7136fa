#pragma once

#include "framework/types/timepoint.h"
#include "standins/standinserver.h"
#include "standins/types/weightoptions.h"

#include <deque>

namespace lavendertally::standins {

/// Weight store with a limit of downloads. The bytes of a model repeat its name.
class WeightStandIn final : public StandInServer
{
public:
    WeightStandIn(framework::IEventLoop &loop, const WeightOptions &options);
    ~WeightStandIn() override;

private:
    void handle(const ExchangePtr &exchange, FaultMode mode) override;
    bool takeAllowance();

    WeightOptions m_options;
    std::deque<framework::TimePoint> m_recent;
};

} // namespace lavendertally::standins
