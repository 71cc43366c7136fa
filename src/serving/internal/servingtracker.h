#pragma once

#include "serving/iservingtracker.h"

#include <vector>

namespace lavendertally::framework {
class ILogger;
}

namespace lavendertally::serving {

/// Keeps the newest version of the configuration and the time at which it was last confirmed.
class ServingTracker final : public IServingTracker
{
public:
    explicit ServingTracker(framework::ILogger &logger);

    std::shared_ptr<const ServingConfiguration> configuration() const override;
    framework::TimePoint confirmedAt() const override { return m_confirmedAt; }
    void applyConfiguration(std::shared_ptr<const ServingConfiguration> configuration) override;
    void confirm(framework::TimePoint instant) override;
    void onChange(std::function<void()> callback) override;

private:
    framework::ILogger &m_logger;
    std::shared_ptr<const ServingConfiguration> m_configuration;
    framework::TimePoint m_confirmedAt;
    std::vector<std::function<void()>> m_listeners;
};

} // namespace lavendertally::serving
