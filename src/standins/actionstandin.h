#pragma once

#include "standins/servicestandin.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace lavendertally::standins {

/// Plain service whose calls have an effect. It runs a call each time it comes and counts it.
class ActionStandIn final : public ServiceStandIn
{
public:
    ActionStandIn(framework::IEventLoop &loop, const ServiceOptions &options);

    /// \return the operations that it has run, in order
    const std::vector<nlohmann::json> &operations() const { return m_operations; }

private:
    void handle(const ExchangePtr &exchange, FaultMode mode) override;
    void serve(const ExchangePtr &exchange, FaultMode mode) override;
    bool knows(const std::string &path) const override;

    std::vector<nlohmann::json> m_operations;
};

} // namespace lavendertally::standins
