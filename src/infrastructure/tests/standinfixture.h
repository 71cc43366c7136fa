#pragma once

#include "framework/frameworkmodule.h"
#include "framework/iclock.h"
#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "http/httpmodule.h"
#include "http/ihttpcall.h"
#include "http/ihttpclient.h"

#include <memory>

namespace lavendertally::infrastructure {

/// Event loop and HTTP client for tests against stand-ins in the same process.
struct StandInFixture
{
    /// Runs the loop until something stops it; gives up after a generous time.
    void run()
    {
        const auto guard =
            m_loop->callAfter(framework::Milliseconds(10000), [this] { m_loop->stop(); });
        m_loop->run();
    }

    std::unique_ptr<framework::IEventLoop> m_loop = framework::FrameworkModule::makeEventLoop();
    std::unique_ptr<framework::IClock> m_clock = framework::FrameworkModule::makeSystemClock();
    std::unique_ptr<http::IHttpClient> m_client = http::HttpModule::makeClient(*m_loop);
};

} // namespace lavendertally::infrastructure
