#pragma once

#include "serving/iservingtracker.h"

#include <optional>
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
    void rejectConfiguration(std::optional<framework::ConfigurationVersion> version) override;
    void confirm(framework::TimePoint instant) override;
    bool isNewestRejected() const override { return m_rejected.has_value(); }
    void onChange(std::function<void()> callback) override;

private:
    framework::ILogger &m_logger;
    std::shared_ptr<const ServingConfiguration> m_configuration;
    framework::TimePoint m_confirmedAt;
    /// Newest version that cannot be used, unless a newer one is active; zero if it names no
    /// number.
    std::optional<framework::ConfigurationVersion> m_rejected;
    std::vector<std::function<void()>> m_listeners;
};

} // namespace lavendertally::serving
