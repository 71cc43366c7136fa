#pragma once

#include "serving/iservingstate.h"
#include "serving/types/servingconfiguration.h"

#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace lavendertally::serving {

/// Active configuration that a test sets.
class FakeServingState final : public IServingState
{
public:
    std::shared_ptr<const ServingConfiguration> configuration() const override
    {
        return m_configuration;
    }
    framework::TimePoint confirmedAt() const override { return m_confirmedAt; }
    bool isNewestRejected() const override { return false; }

    void set(std::vector<Route> routes, std::vector<ServiceSpec> services,
             std::optional<std::vector<TeamEntry>> teams = std::nullopt)
    {
        m_configuration = std::make_shared<ServingConfiguration>(
            framework::ConfigurationVersion(1), std::move(routes), std::move(services),
            RequestLimits{}, std::move(teams));
    }
    void clear() { m_configuration.reset(); }
    void confirm(framework::TimePoint instant) { m_confirmedAt = instant; }

private:
    std::shared_ptr<const ServingConfiguration> m_configuration;
    framework::TimePoint m_confirmedAt;
};

} // namespace lavendertally::serving
