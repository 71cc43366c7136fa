#include "entry/internal/entrydaemon.h"

#include "budget/budgetmodule.h"
#include "budget/budgetreporter.h"
#include "budget/iresourcebudget.h"
#include "claims/claimsmodule.h"
#include "claims/iclaimservice.h"
#include "claims/types/claimsettings.h"
#include "configuration/configurationmodule.h"
#include "configuration/iconfigurationreplica.h"
#include "configuration/icontrolrecordcodec.h"
#include "configuration/types/configurationview.h"
#include "control/controlmodule.h"
#include "control/idaemoncontrol.h"
#include "control/ioperatorservice.h"
#include "control/irevisionreports.h"
#include "control/types/controldependencies.h"
#include "entry/internal/crashevidenceexchange.h"
#include "entry/internal/livenessprobe.h"
#include "framework/frameworkmodule.h"
#include "framework/hash.h"
#include "framework/iclock.h"
#include "framework/ieventloop.h"
#include "framework/ilogger.h"
#include "framework/imetrics.h"
#include "framework/irandom.h"
#include "framework/itimer.h"
#include "frontend/frontendmodule.h"
#include "frontend/ihttpapi.h"
#include "frontend/operatorapi.h"
#include "http/httpmodule.h"
#include "http/ihttpclient.h"
#include "http/ihttpexchange.h"
#include "http/ihttpserver.h"
#include "http/servershutdown.h"
#include "infrastructure/ihostlist.h"
#include "infrastructure/ilogservice.h"
#include "infrastructure/infrastructuremodule.h"
#include "membership/imembershiptracker.h"
#include "membership/membershipmodule.h"
#include "membership/types/hoststatus.h"
#include "pipeline/irequestservice.h"
#include "pipeline/pipelinemodule.h"
#include "pipeline/types/pipelinecontext.h"
#include "protocol/imessagecodec.h"
#include "protocol/protocolmodule.h"
#include "quarantine/ipromptquarantine.h"
#include "quarantine/quarantinemodule.h"
#include "retry/iretrypolicy.h"
#include "retry/istagebudget.h"
#include "retry/retrymodule.h"
#include "routing/routingmodule.h"
#include "transport/istageclient.h"
#include "transport/transportmodule.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace lavendertally::entry {

namespace {

constexpr framework::Milliseconds LoadProbeInterval{200};
constexpr framework::Milliseconds LoadProbeTimeout{500};
constexpr framework::Milliseconds DrainCheckInterval{20};
/// How long a drain waits after the last request for the log service to take the claim outcomes.
constexpr framework::Milliseconds MaxOutcomeRecordingWait{5000};

} // namespace

EntryDaemon::EntryDaemon(const configuration::DaemonSettings &settings, framework::IEventLoop &loop)
    : m_components(settings, loop), m_log(infrastructure::InfrastructureModule::makeLogService(
                                        *m_components.client, settings.logService))
{
    makeControl();
    makeRequests();
    makeHttp();
}

EntryDaemon::~EntryDaemon() = default;

void EntryDaemon::makeControl()
{
    m_control = control::ControlModule::makeDaemonControl(
        m_components.controlDependencies(m_log.get()), m_components.loop, *m_components.codec);
    m_operatorService = control::ControlModule::makeOperatorService(
        *m_log, *m_components.replica, *m_components.recordCodec, m_components.loop);
}

void EntryDaemon::makeRequests()
{
    m_routing = routing::RoutingModule::makeRouting(*m_components.membership, *m_components.random,
                                                    m_components.settings.host);
    m_retryPolicy = retry::RetryModule::makeBudgetedRetryPolicy(*m_components.random);
    m_stageBudget = retry::RetryModule::makeStageBudget();
    claims::ClaimSettings claimSettings;
    claimSettings.claimWindow = m_components.settings.claimWindow;
    m_claims = claims::ClaimsModule::makeService(*m_log, m_components.loop, *m_components.clock,
                                                 *m_components.random, *m_components.metrics,
                                                 m_components.settings.id, claimSettings);
    m_stageClient = transport::TransportModule::makeStageClient(
        *m_components.client, *m_components.codec, *m_components.metrics);
    m_quarantine = quarantine::QuarantineModule::makeQuarantine(
        *m_components.logger, *m_components.metrics, {},
        framework::stableHash(m_components.settings.id.value()));
    m_crashEvidence = std::make_unique<CrashEvidenceExchange>(m_quarantine->evidenceStore(),
                                                              *m_control, *m_components.clock);
    m_requests = pipeline::PipelineModule::makeRequestService(
        {m_components.settings.id, m_components.settings.zone, *m_components.clock,
         m_components.loop, *m_components.logger, *m_components.metrics, *m_components.replica,
         *m_routing.selector, *m_retryPolicy, *m_stageBudget, *m_claims, *m_stageClient,
         *m_quarantine, *this});
    m_liveness = std::make_unique<LivenessProbe>(*m_requests, *m_control, *m_components.membership,
                                                 *m_routing.selector, m_components.loop,
                                                 *m_components.clock);
}

void EntryDaemon::makeHttp()
{
    m_apis.push_back(frontend::FrontendModule::makeCallerApi(*m_requests, *m_components.metrics));
    m_apis.push_back(std::make_unique<frontend::OperatorApi>(
        *m_components.replica, *m_operatorService, m_control->revisionReports()));
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
    m_server->setHandler([this](const std::shared_ptr<http::IHttpExchange> &exchange) {
        frontend::FrontendModule::dispatch(m_apis, exchange);
    });
    m_shutdown = std::make_unique<http::ServerShutdown>(*m_server);
}

framework::Result<void> EntryDaemon::start()
{
    BOOST_LEAF_AUTO(control, m_control->start(m_components.settings.controlListen));
    BOOST_LEAF_AUTO(endpoint, m_server->listen(m_components.settings.listen));
    m_components.logger->info("entry started; accepting requests",
                              {{"http", endpoint.toString()}, {"control", control.toString()}});
    std::cout << "listening http=" << endpoint.toString() << " control=" << control.toString()
              << std::endl;
    probeLoads();
    return {};
}

void EntryDaemon::onHostAnswer(const membership::HostEntry &host, protocol::RefusalReason reason,
                               framework::LogOffset revision)
{
    m_components.membership->recordRefusal(host.id, reason, revision, m_components.clock->now());
    m_control->noteRevision(host.control, revision);
}

void EntryDaemon::probeLoads()
{
    m_budget->report();
    for (const membership::HostEntry &host :
         m_routing.probes->hostsToProbe(m_components.clock->now())) {
        m_control->probeLoad(host.control, LoadProbeTimeout,
                             [this, id = host.id](framework::Result<protocol::LoadReport> report) {
                                 if (report) {
                                     m_routing.selector->observeLoad(id, *report,
                                                                     m_components.clock->now());
                                 }
                             });
    }
    m_loadProbeTimer = m_components.loop.callAfter(LoadProbeInterval, [this] { probeLoads(); });
}

void EntryDaemon::drain(std::function<void()> finished)
{
    m_onDrained = std::move(finished);
    m_idleSince = m_components.clock->now();
    m_drainDeadline = m_idleSince + m_components.settings.drainTimeout;
    m_requests->beginDrain();
    m_shutdown->begin();
    m_components.logger->info("shutting down; finishing requests in flight, refusing new ones",
                              {{"requests", std::to_string(m_requests->activeRequests())}});
    checkDrained();
}

void EntryDaemon::checkDrained()
{
    const framework::TimePoint now = m_components.clock->now();
    const bool idle = m_requests->activeRequests() == 0 && m_server->unfinishedExchanges() == 0;
    if (!idle) {
        m_idleSince = now;
    }
    // The outcomes of non-idempotent stages should reach the log, but the log service may be down.
    const bool outcomesRecorded =
        m_claims->unrecordedOutcomes() == 0 || now - m_idleSince >= MaxOutcomeRecordingWait;
    // Until then new requests are accepted and refused.
    const bool finished = idle && outcomesRecorded && m_shutdown->finish();
    if (finished || now >= m_drainDeadline) {
        m_onDrained();
        return;
    }
    m_drainTimer = m_components.loop.callAfter(DrainCheckInterval, [this] { checkDrained(); });
}

nlohmann::json EntryDaemon::dumpState() const
{
    nlohmann::json hosts = nlohmann::json::array();
    for (const membership::HostStatus &status : m_components.membership->hosts()) {
        hosts.push_back({{"host", status.entry.id.value()},
                         {"availability_zone", status.entry.zone.value()},
                         {"service", status.entry.service.value()},
                         {"admitting", status.exclusion == membership::HostExclusion::None}});
    }
    const auto view = m_components.replica->current();
    return {{"daemon", m_components.settings.id.value()},
            {"role", "entry"},
            {"availability_zone", m_components.settings.zone.value()},
            {"version", LAVENDERTALLY_VERSION},
            {"revision", view->revision.value()},
            {"pipelines", view->configuration.pipelines.size()},
            {"teams", view->configuration.teams.size()},
            {"active_requests", m_requests->activeRequests()},
            {"hosts", hosts},
            {"control", m_control->dumpState()}};
}

} // namespace lavendertally::entry
