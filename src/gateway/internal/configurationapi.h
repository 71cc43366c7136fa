#pragma once

#include "frontend/ihttpapi.h"

namespace lavendertally::serving {
class IServingState;
}

namespace lavendertally::gateway {

/// Serves the configuration in force, read-only and without API keys, for `lavendertallyctl check`.
class ConfigurationApi final : public frontend::IHttpApi
{
public:
    /// \param serving outlives this object
    explicit ConfigurationApi(const serving::IServingState &serving);

    bool handle(const std::shared_ptr<http::IHttpExchange> &exchange) override;

private:
    const serving::IServingState &m_serving;
};

} // namespace lavendertally::gateway
