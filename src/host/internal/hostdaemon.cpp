#include "host/internal/hostdaemon.h"

#include "accounting/accountingmodule.h"
#include "accounting/icostledger.h"
#include "admission/admissionmodule.h"
#include "admission/iadmissioncontroller.h"
#include "admission/types/admissionpolicy.h"
#include "backends/backendsmodule.h"
#include "backends/ibackendserverfactory.h"
#include "configuration/configurationmodule.h"
#include "configuration/iconfigurationreplica.h"
#include "configuration/icontrolrecordcodec.h"
#include "configuration/types/configurationview.h"
#include "control/controlmodule.h"
#include "control/idaemoncontrol.h"
#include "control/types/controlparts.h"
#include "framework/frameworkmodule.h"
#include "framework/iclock.h"
#include "framework/ieventloop.h"
#include "framework/ilogger.h"
#include "framework/imetrics.h"
#include "framework/irandom.h"
#include "framework/itimer.h"
#include "frontend/frontendmodule.h"
#include "frontend/ihttpapi.h"
#include "host/ihostservice.h"
#include "host/internal/hostservice.h"
#include "http/httpmodule.h"
#include "http/ihttpclient.h"
#include "http/ihttpexchange.h"
#include "http/ihttpserver.h"
#include "membership/imembershiptracker.h"
#include "membership/iworkgate.h"
#include "membership/membershipmodule.h"
#include "platform/ihostlist.h"
#include "platform/platformmodule.h"
#include "protocol/imessagecodec.h"
#include "protocol/protocolmodule.h"
#include "protocol/refusalreasonname.h"
#include "transport/istageserver.h"
#include "transport/transportmodule.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace lavendertally::host {

namespace {

constexpr framework::Milliseconds IsolationCheckInterval{1000};
constexpr framework::Milliseconds DrainCheckInterval{20};

} // namespace

HostDaemon::HostDaemon(const configuration::DaemonSettings &settings, framework::IEventLoop &loop)
    : m_settings(settings), m_loop(loop), m_clock(framework::FrameworkModule::makeSystemClock()),
      m_logger(framework::FrameworkModule::makeLogger(settings.id.value(), settings.logFormat)),
      m_metrics(framework::FrameworkModule::makeMetrics()),
      m_random(framework::FrameworkModule::makeRandom(framework::FrameworkModule::entropySeed())),
      m_codec(protocol::ProtocolModule::makeCodec()), m_client(http::HttpModule::makeClient(loop)),
      m_hostList(platform::PlatformModule::makeHostList(*m_client, settings.hostList)),
      m_recordCodec(configuration::ConfigurationModule::makeRecordCodec()),
      m_replica(configuration::ConfigurationModule::makeReplica()),
      m_membership(membership::MembershipModule::makeMembership()),
      m_gate(membership::MembershipModule::makeWorkGate(settings.host, settings.zone)),
      m_costs(accounting::AccountingModule::makeLedger(*m_metrics)),
      m_admission(admission::AdmissionModule::makeController({}, {})),
      m_backends(backends::BackendsModule::makeFactory(*m_client, settings.backend))
{
    makeControl();
    makeService();
    makeHttp();
}

HostDaemon::~HostDaemon() = default;

void HostDaemon::makeControl()
{
    const control::ControlParts parts{
        .identity = {m_settings.id, m_settings.host, m_settings.zone, m_settings.role},
        .seedPeers = m_settings.seedPeers,
        .replica = *m_replica,
        .recordCodec = *m_recordCodec,
        .membership = *m_membership,
        .hostList = *m_hostList,
        .log = nullptr,
        .clock = *m_clock,
        .random = *m_random,
        .logger = *m_logger,
        .metrics = *m_metrics};
    m_control = control::ControlModule::makeDaemonControl(parts, m_loop, *m_codec);
    m_control->setLoadSource([this] { return m_admission->load(m_clock->now()); });
    m_control->onMembershipUpdate([this] { refreshGate(); });
    m_replica->onChange([this] { m_service->refresh(); });
}

void HostDaemon::makeService()
{
    m_service = std::make_unique<HostService>(
        HostServiceContext{m_settings.service, *m_clock, m_loop, *m_logger, *m_metrics, *m_replica,
                           *m_costs, *m_admission, *m_gate, *m_backends, *this});
    m_stages =
        transport::TransportModule::makeStageServer(*m_service, *m_codec, *m_metrics, *m_logger);
}

void HostDaemon::makeHttp()
{
    m_apis.push_back(frontend::FrontendModule::makeObservabilityApi(*m_metrics, *this));
    http::HttpLimits limits;
    limits.maxBody = m_settings.maxRequest;
    m_server = http::HttpModule::makeServer(m_loop, limits);
    m_server->setHandler(
        [this](const std::shared_ptr<http::IHttpExchange> &exchange) { handle(exchange); });
}

void HostDaemon::handle(const std::shared_ptr<http::IHttpExchange> &exchange)
{
    if (!m_stages->handle(exchange)) {
        frontend::FrontendModule::dispatch(m_apis, exchange);
    }
}

framework::Result<void> HostDaemon::start()
{
    BOOST_LEAF_AUTO(control, m_control->start(m_settings.controlListen));
    BOOST_LEAF_AUTO(endpoint, m_server->listen(m_settings.listen));
    m_logger->info("host process started; assumes a cold backend server",
                   {{"http", endpoint.toString()},
                    {"control", control.toString()},
                    {"service", m_settings.service.value()}});
    std::cout << "listening http=" << endpoint.toString() << " control=" << control.toString()
              << std::endl;
    watchIsolation();
    return {};
}

void HostDaemon::onEntryRevision(const framework::DaemonId &sender, framework::LogOffset revision)
{
    m_control->noteRevision(sender, revision);
}

void HostDaemon::refreshGate()
{
    m_gate->setLeaving(m_membership->isLeaving(m_settings.host));
    m_service->refresh();
}

void HostDaemon::watchIsolation()
{
    m_gate->setConfigurationCurrent(!m_control->isIsolated());
    m_service->refresh();
    m_isolationTimer = m_loop.callAfter(IsolationCheckInterval, [this] { watchIsolation(); });
}

void HostDaemon::drain(std::function<void()> finished)
{
    m_drained = std::move(finished);
    m_drainEnd = m_clock->now() + m_settings.drainTimeout;
    m_gate->startDrain();
    m_service->refresh();
    m_logger->info("shutting down; calls under way are finished, new ones refused",
                   {{"calls", std::to_string(m_service->activeCalls())}});
    checkDrained();
}

void HostDaemon::checkDrained()
{
    const bool idle = m_service->activeCalls() == 0 && m_server->unfinishedExchanges() == 0;
    if (idle || m_clock->now() >= m_drainEnd) {
        m_drained();
        return;
    }
    m_drainTimer = m_loop.callAfter(DrainCheckInterval, [this] { checkDrained(); });
}

nlohmann::json HostDaemon::dumpState() const
{
    const protocol::LoadReport load = m_admission->load(m_clock->now());
    return {{"daemon", m_settings.id.value()},
            {"role", "host"},
            {"availability_zone", m_settings.zone.value()},
            {"version", LAVENDERTALLY_VERSION},
            {"service", m_settings.service.value()},
            {"revision", m_replica->current()->revision.value()},
            {"gate", protocol::refusalReasonName(m_gate->refusal())},
            {"running", load.running},
            {"queued", load.queued},
            {"limit", load.limit},
            {"cold", load.cold},
            {"incarnation", load.incarnation.value()},
            {"cost", m_costs->snapshot().total.cost.value()},
            {"wasted_cost", m_costs->snapshot().total.wasted().value()},
            {"control", m_control->dumpState()}};
}

} // namespace lavendertally::host
