#pragma once

#include "framework/frameworkmodule.h"
#include "framework/imetrics.h"
#include "framework/testing/recordinglogger.h"
#include "ratelimit/iratelimitstore.h"
#include "ratelimit/iserverratelimits.h"
#include "ratelimit/ratelimitmodule.h"

#include <memory>

namespace lavendertally::ratelimit {

/// Rate limits of one daemon with the services that they need.
class TestRateLimits
{
public:
    TestRateLimits()
        : m_metrics(framework::FrameworkModule::makeMetrics()),
          m_limits(RateLimitModule::makeServerRateLimits(m_logger, *m_metrics))
    { }

    IServerRateLimits &limits() { return *m_limits; }
    IRateLimitStore &store() { return m_limits->store(); }

private:
    framework::RecordingLogger m_logger;
    std::unique_ptr<framework::IMetrics> m_metrics;
    std::unique_ptr<IServerRateLimits> m_limits;
};

} // namespace lavendertally::ratelimit
