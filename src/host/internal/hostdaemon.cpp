#include "host/internal/hostdaemon.h"

#include "accounting/accountingmodule.h"
#include "accounting/icostledger.h"
#include "admission/admissionmodule.h"
#include "admission/iadmissioncontroller.h"
#include "admission/types/admissionpolicy.h"
#include "backends/backendsmodule.h"
#include "backends/ibackendserverfactory.h"
#include "budget/budgetmodule.h"
#include "budget/budgetreporter.h"
#include "budget/iresourcebudget.h"
#include "configuration/configurationmodule.h"
#include "configuration/iconfigurationreplica.h"
#include "configuration/icontrolrecordcodec.h"
#include "configuration/types/configurationview.h"
#include "control/controlmodule.h"
#include "control/idaemoncontrol.h"
#include "control/types/controldependencies.h"
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
#include "http/servershutdown.h"
#include "infrastructure/ihostlist.h"
#include "infrastructure/infrastructuremodule.h"
#include "membership/iadmissiongate.h"
#include "membership/imembershiptracker.h"
#include "membership/membershipmodule.h"
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
    : m_components(settings, loop),
      m_gate(membership::MembershipModule::makeAdmissionGate(settings.host, settings.zone)),
      m_costs(accounting::AccountingModule::makeLedger(*m_components.metrics)),
      m_admission(admission::AdmissionModule::makeController({}, {})),
      m_backends(backends::BackendsModule::makeFactory(*m_components.client, settings.backend))
{
    makeControl();
    makeService();
    makeHttp();
}

HostDaemon::~HostDaemon() = default;

void HostDaemon::makeControl()
{
    m_control = control::ControlModule::makeDaemonControl(m_components.controlDependencies(nullptr),
                                                          m_components.loop, *m_components.codec);
    m_control->setLoadSource([this] { return m_admission->load(m_components.clock->now()); });
    m_control->onMembershipUpdate([this] { refreshGate(); });
    m_components.replica->onChange([this] { m_service->refresh(); });
}

void HostDaemon::makeService()
{
    m_service = std::make_unique<HostService>(HostServiceContext{
        m_components.settings.host, m_components.settings.service, *m_components.clock,
        m_components.loop, *m_components.logger, *m_components.metrics, *m_components.replica,
        *m_costs, *m_admission, *m_gate, *m_backends, *this});
    m_stageServer = transport::TransportModule::makeStageServer(
        *m_service, *m_components.codec, *m_components.metrics, *m_components.logger);
}

void HostDaemon::makeHttp()
{
    m_apis.push_back(frontend::FrontendModule::makeObservabilityApi(*m_components.metrics, *this));
    http::HttpLimits limits;
    limits.maxBody = m_components.settings.maxRequest;
    limits.minBodyRate = m_components.settings.minBodyRate;
    const budget::ProcessParts parts = budget::BudgetModule::divide(
        m_components.settings.memoryLimit, m_components.settings.descriptorLimit);
    const auto bearer = budget::BudgetModule::makeBudget(parts.clients, *m_components.clock);
    m_budget = std::make_unique<budget::BudgetReporter>(
        bearer, "http", *m_components.clock, *m_components.logger, *m_components.metrics);
    m_server = http::HttpModule::makeServer(m_components.loop, limits, bearer);
    m_server->setHandler(
        [this](const std::shared_ptr<http::IHttpExchange> &exchange) { handle(exchange); });
    m_shutdown = std::make_unique<http::ServerShutdown>(*m_server);
}

void HostDaemon::handle(const std::shared_ptr<http::IHttpExchange> &exchange)
{
    if (!m_stageServer->handle(exchange)) {
        frontend::FrontendModule::dispatch(m_apis, exchange);
    }
}

framework::Result<void> HostDaemon::start()
{
    BOOST_LEAF_AUTO(control, m_control->start(m_components.settings.controlListen));
    BOOST_LEAF_AUTO(endpoint, m_server->listen(m_components.settings.listen));
    m_components.logger->info("host process started; assuming that the backend server is cold",
                              {{"http", endpoint.toString()},
                               {"control", control.toString()},
                               {"service", m_components.settings.service.value()}});
    std::cout << "listening http=" << endpoint.toString() << " control=" << control.toString()
              << std::endl;
    checkIsolation();
    return {};
}

void HostDaemon::onEntryRevision(const framework::DaemonId &sender, framework::LogOffset revision)
{
    m_control->noteRevision(sender, revision);
}

void HostDaemon::refreshGate()
{
    m_gate->setLeaving(m_components.membership->isLeaving(m_components.settings.host));
    m_service->refresh();
}

void HostDaemon::updateLoadGauges()
{
    const protocol::LoadReport load = m_admission->load(m_components.clock->now());
    const std::string &service = m_components.settings.service.value();
    framework::IMetrics &metrics = *m_components.metrics;
    metrics.setGauge("lavendertally_running_calls", {{"service", service}}, load.running);
    metrics.setGauge("lavendertally_queued_calls", {{"service", service}}, load.queued);
    metrics.setGauge("lavendertally_admission_limit", {{"service", service}}, load.limit);
}

void HostDaemon::checkIsolation()
{
    updateLoadGauges();
    m_budget->report();
    m_gate->setConfigurationCurrent(!m_control->isIsolated());
    m_service->refresh();
    m_isolationTimer =
        m_components.loop.callAfter(IsolationCheckInterval, [this] { checkIsolation(); });
}

void HostDaemon::drain(std::function<void()> finished)
{
    m_onDrained = std::move(finished);
    m_drainDeadline = m_components.clock->now() + m_components.settings.drainTimeout;
    m_gate->startDrain();
    m_service->refresh();
    m_shutdown->begin();
    m_components.logger->info("shutting down; finishing calls in flight, refusing new ones",
                              {{"calls", std::to_string(m_service->activeCalls())}});
    checkDrained();
}

void HostDaemon::checkDrained()
{
    const bool idle = m_service->activeCalls() == 0 && m_server->unfinishedExchanges() == 0;
    // Until then new calls are accepted and refused.
    const bool finished = idle && m_shutdown->finish();
    if (finished || m_components.clock->now() >= m_drainDeadline) {
        m_onDrained();
        return;
    }
    m_drainTimer = m_components.loop.callAfter(DrainCheckInterval, [this] { checkDrained(); });
}

nlohmann::json HostDaemon::dumpState() const
{
    const protocol::LoadReport load = m_admission->load(m_components.clock->now());
    return {{"daemon", m_components.settings.id.value()},
            {"role", "host"},
            {"availability_zone", m_components.settings.zone.value()},
            {"version", LAVENDERTALLY_VERSION},
            {"service", m_components.settings.service.value()},
            {"revision", m_components.replica->current()->revision.value()},
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
