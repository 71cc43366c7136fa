#include "daemon/daemoncomponents.h"

#include "configuration/configurationmodule.h"
#include "configuration/iconfigurationreplica.h"
#include "configuration/icontrolrecordcodec.h"
#include "control/types/controldependencies.h"
#include "framework/frameworkmodule.h"
#include "framework/iclock.h"
#include "framework/ieventloop.h"
#include "framework/ilogger.h"
#include "framework/imetrics.h"
#include "framework/irandom.h"
#include "http/httpmodule.h"
#include "http/ihttpclient.h"
#include "infrastructure/ihostlist.h"
#include "infrastructure/infrastructuremodule.h"
#include "membership/imembershiptracker.h"
#include "membership/membershipmodule.h"
#include "protocol/imessagecodec.h"
#include "protocol/protocolmodule.h"

namespace lavendertally::daemon {

DaemonComponents::DaemonComponents(const configuration::DaemonSettings &settings,
                                   framework::IEventLoop &loop)
    : settings(settings), loop(loop), clock(framework::FrameworkModule::makeSystemClock()),
      logger(framework::FrameworkModule::makeLogger(settings.id.value(), settings.logFormat)),
      metrics(framework::FrameworkModule::makeMetrics()),
      random(framework::FrameworkModule::makeRandom(framework::FrameworkModule::entropySeed())),
      codec(protocol::ProtocolModule::makeCodec()), client(http::HttpModule::makeClient(loop)),
      hostList(infrastructure::InfrastructureModule::makeHostList(*client, settings.hostList)),
      recordCodec(configuration::ConfigurationModule::makeRecordCodec()),
      replica(configuration::ConfigurationModule::makeReplica()),
      membership(membership::MembershipModule::makeMembership())
{ }

DaemonComponents::~DaemonComponents() = default;

control::ControlDependencies
DaemonComponents::controlDependencies(infrastructure::ILogService *log) const
{
    control::ControlDependencies dependencies{
        .identity = {settings.id, settings.host, settings.zone, settings.role},
        .seedPeers = settings.seedPeers,
        .replica = *replica,
        .recordCodec = *recordCodec,
        .membership = *membership,
        .hostList = *hostList,
        .log = log,
        .clock = *clock,
        .random = *random,
        .logger = *logger,
        .metrics = *metrics};
    dependencies.snapshotLimits.retention = settings.logRetention;
    return dependencies;
}

} // namespace lavendertally::daemon
