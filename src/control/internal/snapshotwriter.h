#pragma once

#include "control/types/controlidentity.h"
#include "framework/types/ids.h"

#include <cstddef>
#include <memory>

namespace lavendertally::configuration {
class IConfigurationReplica;
class IControlRecordCodec;
} // namespace lavendertally::configuration

namespace lavendertally::framework {
class IClock;
class ILogger;
class IScheduler;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::membership {
class IMembership;
}

namespace lavendertally::infrastructure {
class ILogService;
}

namespace lavendertally::control {

class ISnapshotPolicy;

/// Appends a snapshot of the state to the control stream when the policy says that one is due.
class SnapshotWriter
{
public:
    SnapshotWriter(ControlIdentity identity, infrastructure::ILogService &log,
                   ISnapshotPolicy &policy, const configuration::IConfigurationReplica &replica,
                   const configuration::IControlRecordCodec &codec,
                   const membership::IMembership &membership, framework::IScheduler &scheduler,
                   const framework::IClock &clock, framework::ILogger &logger);
    ~SnapshotWriter();
    SnapshotWriter(const SnapshotWriter &) = delete;
    SnapshotWriter &operator=(const SnapshotWriter &) = delete;

    void start();

private:
    void check();
    void write();
    /// \return place of this entry in the order of turns
    std::size_t rank() const;

    ControlIdentity m_identity;
    infrastructure::ILogService &m_log;
    ISnapshotPolicy &m_policy;
    const configuration::IConfigurationReplica &m_replica;
    const configuration::IControlRecordCodec &m_codec;
    const membership::IMembership &m_membership;
    framework::IScheduler &m_scheduler;
    const framework::IClock &m_clock;
    framework::ILogger &m_logger;
    std::unique_ptr<framework::ITimer> m_timer;
};

} // namespace lavendertally::control
