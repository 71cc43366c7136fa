#include "entry/internal/entrydaemon.h"

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
#include "entry/internal/livenessprobe.h"
#include "framework/frameworkmodule.h"
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
    : m_parts(settings, loop), m_log(infrastructure::InfrastructureModule::makeLogService(
                                   *m_parts.client, settings.logService))
{
    makeControl();
    makeRequests();
    makeHttp();
}

EntryDaemon::~EntryDaemon() = default;

void EntryDaemon::makeControl()
{
    m_control = control::ControlModule::makeDaemonControl(m_parts.controlParts(m_log.get()),
                                                          m_parts.loop, *m_parts.codec);
    m_operatorService = control::ControlModule::makeOperatorService(
        *m_log, *m_parts.replica, *m_parts.recordCodec, m_parts.loop);
}

void EntryDaemon::makeRequests()
{
    m_routing = routing::RoutingModule::makeRouting(*m_parts.membership, *m_parts.random,
                                                    m_parts.settings.host);
    m_retryPolicy = retry::RetryModule::makeBudgetedRetryPolicy(*m_parts.random);
    m_stageBudget = retry::RetryModule::makeStageBudget();
    claims::ClaimSettings claimSettings;
    claimSettings.claimWindow = m_parts.settings.claimWindow;
    m_claims =
        claims::ClaimsModule::makeService(*m_log, m_parts.loop, *m_parts.clock, *m_parts.random,
                                          *m_parts.metrics, m_parts.settings.id, claimSettings);
    m_stageClient = transport::TransportModule::makeStageClient(*m_parts.client, *m_parts.codec,
                                                                *m_parts.metrics);
    m_requests = pipeline::PipelineModule::makeRequestService(
        {m_parts.settings.id, m_parts.settings.zone, *m_parts.clock, m_parts.loop, *m_parts.logger,
         *m_parts.metrics, *m_parts.replica, *m_routing.selector, *m_retryPolicy, *m_stageBudget,
         *m_claims, *m_stageClient, *this});
    m_liveness = std::make_unique<LivenessProbe>(*m_requests, *m_control, *m_parts.membership,
                                                 *m_routing.selector, m_parts.loop, *m_parts.clock);
}

void EntryDaemon::makeHttp()
{
    m_apis.push_back(frontend::FrontendModule::makeCallerApi(*m_requests, *m_parts.metrics));
    m_apis.push_back(std::make_unique<frontend::OperatorApi>(*m_parts.replica, *m_operatorService,
                                                             m_control->revisionReports()));
    m_apis.push_back(frontend::FrontendModule::makeObservabilityApi(*m_parts.metrics, *this));
    http::HttpLimits limits;
    limits.maxBody = m_parts.settings.maxRequest;
    m_server = http::HttpModule::makeServer(m_parts.loop, limits);
    m_server->setHandler([this](const std::shared_ptr<http::IHttpExchange> &exchange) {
        frontend::FrontendModule::dispatch(m_apis, exchange);
    });
}

framework::Result<void> EntryDaemon::start()
{
    BOOST_LEAF_AUTO(control, m_control->start(m_parts.settings.controlListen));
    BOOST_LEAF_AUTO(endpoint, m_server->listen(m_parts.settings.listen));
    m_parts.logger->info("entry started; accepting requests",
                         {{"http", endpoint.toString()}, {"control", control.toString()}});
    std::cout << "listening http=" << endpoint.toString() << " control=" << control.toString()
              << std::endl;
    probeLoads();
    return {};
}

void EntryDaemon::onHostAnswer(const membership::HostEntry &host, protocol::RefusalReason reason,
                               framework::LogOffset revision)
{
    m_parts.membership->recordRefusal(host.id, reason, revision, m_parts.clock->now());
    m_control->noteRevision(host.control, revision);
}

void EntryDaemon::probeLoads()
{
    for (const membership::HostEntry &host : m_routing.probes->hostsToProbe(m_parts.clock->now())) {
        m_control->probeLoad(host.control, LoadProbeTimeout,
                             [this, id = host.id](framework::Result<protocol::LoadReport> report) {
                                 if (report) {
                                     m_routing.selector->observeLoad(id, *report,
                                                                     m_parts.clock->now());
                                 }
                             });
    }
    m_loadProbeTimer = m_parts.loop.callAfter(LoadProbeInterval, [this] { probeLoads(); });
}

void EntryDaemon::drain(std::function<void()> finished)
{
    m_onDrained = std::move(finished);
    m_idleSince = m_parts.clock->now();
    m_drainDeadline = m_idleSince + m_parts.settings.drainTimeout;
    m_requests->beginDrain();
    m_parts.logger->info("shutting down; finishing requests in flight, refusing new ones",
                         {{"requests", std::to_string(m_requests->activeRequests())}});
    checkDrained();
}

void EntryDaemon::checkDrained()
{
    const framework::TimePoint now = m_parts.clock->now();
    const bool idle = m_requests->activeRequests() == 0 && m_server->unfinishedExchanges() == 0;
    if (!idle) {
        m_idleSince = now;
    }
    // The outcomes of non-idempotent stages should reach the log, but the log service may be down.
    const bool outcomesRecorded =
        m_claims->unrecordedOutcomes() == 0 || now - m_idleSince >= MaxOutcomeRecordingWait;
    if ((idle && outcomesRecorded) || now >= m_drainDeadline) {
        m_onDrained();
        return;
    }
    m_drainTimer = m_parts.loop.callAfter(DrainCheckInterval, [this] { checkDrained(); });
}

nlohmann::json EntryDaemon::dumpState() const
{
    nlohmann::json hosts = nlohmann::json::array();
    for (const membership::HostStatus &status : m_parts.membership->hosts()) {
        hosts.push_back({{"host", status.entry.id.value()},
                         {"availability_zone", status.entry.zone.value()},
                         {"service", status.entry.service.value()},
                         {"admitting", status.exclusion == membership::HostExclusion::None}});
    }
    const auto view = m_parts.replica->current();
    return {{"daemon", m_parts.settings.id.value()},
            {"role", "entry"},
            {"availability_zone", m_parts.settings.zone.value()},
            {"version", LAVENDERTALLY_VERSION},
            {"revision", view->revision.value()},
            {"pipelines", view->configuration.pipelines.size()},
            {"teams", view->configuration.teams.size()},
            {"active_requests", m_requests->activeRequests()},
            {"hosts", hosts},
            {"control", m_control->dumpState()}};
}

} // namespace lavendertally::entry
