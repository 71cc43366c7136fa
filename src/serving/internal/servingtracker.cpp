#include "serving/internal/servingtracker.h"

#include "framework/ilogger.h"
#include "serving/types/servingconfiguration.h"

#include <algorithm>
#include <utility>

namespace lavendertally::serving {

ServingTracker::ServingTracker(framework::ILogger &logger) : m_logger(logger) { }

std::shared_ptr<const ServingConfiguration> ServingTracker::configuration() const
{
    return m_configuration;
}

void ServingTracker::applyConfiguration(std::shared_ptr<const ServingConfiguration> configuration)
{
    const bool isOlder = m_rejected && configuration->version() < *m_rejected;
    if (isOlder || (m_configuration && configuration->version() <= m_configuration->version())) {
        return;
    }
    m_rejected.reset();
    const std::string before =
        m_configuration ? std::to_string(m_configuration->version().value()) : "none";
    m_configuration = std::move(configuration);
    m_logger.info("configuration applied",
                  {{"version", std::to_string(m_configuration->version().value())},
                   {"before", before},
                   {"routes", std::to_string(m_configuration->routes().size())}});
    for (const std::function<void()> &listener : m_listeners) {
        listener();
    }
}

void ServingTracker::rejectConfiguration(std::optional<framework::ConfigurationVersion> version)
{
    if (version && m_configuration && *version <= m_configuration->version()) {
        return;
    }
    m_rejected =
        std::max(m_rejected, std::optional(version.value_or(framework::ConfigurationVersion(0))));
}

void ServingTracker::confirm(framework::TimePoint instant)
{
    if (m_configuration && !m_rejected) {
        m_confirmedAt = std::max(m_confirmedAt, instant);
    }
}

void ServingTracker::onChange(std::function<void()> callback)
{
    m_listeners.push_back(std::move(callback));
}

} // namespace lavendertally::serving
