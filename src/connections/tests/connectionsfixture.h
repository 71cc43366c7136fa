#pragma once

#include "connections/connectionsmodule.h"
#include "connections/iconnectionshares.h"
#include "framework/frameworkmodule.h"
#include "framework/imetrics.h"
#include "framework/testing/fakeclock.h"
#include "framework/testing/fakescheduler.h"
#include "framework/testing/recordinglogger.h"
#include "http/iconnectiongate.h"
#include "membership/testing/fakebackendservers.h"
#include "routing/iserverfilter.h"
#include "routing/types/serverquery.h"
#include "serving/testing/fakeservingstate.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace lavendertally::connections {

/// A service with servers that limit their connections.
class ConnectionsFixture : public testing::Test
{
protected:
    ConnectionsFixture()
        : m_scheduler(m_clock), m_metrics(framework::FrameworkModule::makeMetrics())
    {
        m_clock.set(framework::TimePoint(1000000));
    }

    std::unique_ptr<IConnectionShares> makeShares()
    {
        return ConnectionsModule::makeShares(m_servers, m_serving, m_scheduler, m_clock, m_logger,
                                             *m_metrics);
    }
    void setCap(std::uint32_t connections)
    {
        serving::ServiceSpec spec;
        spec.id = Service;
        spec.maxConnections = connections;
        m_serving.set({}, {spec});
    }
    void addServers(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            membership::BackendServerEntry entry;
            entry.id = framework::BackendServerId("s" + std::to_string(index));
            entry.service = Service;
            entry.endpoint = {"127.0.0.1", static_cast<std::uint16_t>(7000 + index)};
            m_servers.add(entry);
        }
    }
    const std::vector<const membership::BackendServerEntry *> &servers() const
    {
        return m_servers.admitting(Service);
    }
    const framework::Endpoint &endpoint(std::size_t index = 0) const
    {
        return servers()[index]->endpoint;
    }

    const framework::ServiceId Service{"plain"};
    framework::FakeClock m_clock;
    framework::FakeScheduler m_scheduler;
    framework::RecordingLogger m_logger;
    std::unique_ptr<framework::IMetrics> m_metrics;
    membership::FakeBackendServers m_servers;
    serving::FakeServingState m_serving;
};

} // namespace lavendertally::connections
