#pragma once

#include "frontend/ihttpapi.h"

namespace lavendertally::framework {
class IMetrics;
class IStateDumper;
} // namespace lavendertally::framework

namespace lavendertally::frontend {

/// Serves the metrics, the state dump and the health check of a daemon.
class ObservabilityApi final : public IHttpApi
{
public:
    ObservabilityApi(framework::IMetrics &metrics, framework::IStateDumper &dumper);

    bool handle(const std::shared_ptr<http::IHttpExchange> &exchange) override;

private:
    framework::IMetrics &m_metrics;
    framework::IStateDumper &m_dumper;
};

} // namespace lavendertally::frontend
