#include "bench/internal/modelsimulation.h"

#include "bench/internal/modelrequest.h"

#include <algorithm>
#include <random>
#include <utility>

namespace lavendertally::bench {

namespace {

constexpr std::size_t Zones = 3;
constexpr std::size_t Servers = 58;
constexpr double LocalDelayMs = 1.0;
constexpr double RemoteDelayMs = 3.0;
constexpr double ReportIntervalMs = 100.0;

} // namespace

std::vector<ModelServerSpec> makeModelServers(double durationMs, std::uint64_t seed)
{
    constexpr std::size_t SlowEach = 4;
    constexpr double SlowFactor = 2.0;
    constexpr double MeanSpellPauseMs = 20000.0;
    std::mt19937_64 engine(seed);
    const auto uniform = [&engine](double low, double high) {
        return std::uniform_real_distribution<double>(low, high)(engine);
    };
    std::vector<ModelServerSpec> specs;
    for (std::size_t index = 0; index < Servers; ++index) {
        const double slow = index % SlowEach == 0 ? SlowFactor : 1.0;
        ModelServerSpec spec;
        spec.zone = index % Zones;
        spec.tokensPerMs = uniform(100.0, 140.0) / slow;
        spec.stepMs = uniform(2.2, 3.0) * slow;
        spec.memoryTokens = static_cast<std::int64_t>(uniform(444000.0, 564000.0));
        for (double at = uniform(0.0, MeanSpellPauseMs); at < durationMs;) {
            const double length = uniform(300.0, 900.0);
            spec.slowSpells.emplace_back(at, at + length);
            at += length + uniform(0.0, 2.0 * MeanSpellPauseMs);
        }
        specs.push_back(std::move(spec));
    }
    return specs;
}

double capacityOf(const std::vector<ModelServerSpec> &servers)
{
    constexpr double ChunkTokens = 1024.0;
    constexpr double MsPerStepOfHalfFull = 0.64;
    constexpr double MillisecondsPerSecond = 1000.0;
    double sum = 0.0;
    for (const ModelServerSpec &spec : servers) {
        const double perToken =
            1.0 / spec.tokensPerMs + (spec.stepMs + MsPerStepOfHalfFull) / ChunkTokens;
        sum += MillisecondsPerSecond / (meanOwnTokens() * perToken);
    }
    return sum;
}

ModelSimulation::ModelSimulation(const std::vector<ModelRequest> &requests,
                                 std::vector<ModelServerSpec> specs, std::size_t gateways,
                                 ModelPolicyKind policy, ReportMode reports, std::uint64_t seed)
    : m_requests(requests), m_isStepping(specs.size(), false), m_outcomes(requests.size()),
      m_reports(reports)
{
    for (ModelServerSpec &spec : specs) {
        m_servers.emplace_back(std::move(spec));
    }
    for (std::size_t gateway = 0; gateway < gateways; ++gateway) {
        m_gateways.push_back(makeModelPolicy(policy, m_servers, gateway % Zones, seed + gateway));
    }
}

ModelSimulation::~ModelSimulation() = default;

void ModelSimulation::schedule(double at, Type type, std::size_t index)
{
    m_events.push({at, ++m_order, type, index, false, false});
}

void ModelSimulation::run(double untilMs)
{
    if (!m_requests.empty()) {
        schedule(m_requests.front().atMs, Type::Arrival, 0);
    }
    if (m_reports == ReportMode::Shared) {
        schedule(0.0, Type::ReportTaken, 0);
    }
    while (!m_events.empty() && m_events.top().at <= untilMs) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        handle(event);
    }
}

void ModelSimulation::handle(const Event &event)
{
    switch (event.type) {
    case Type::Arrival:
        arrive(event.index);
        break;
    case Type::AtServer: {
        const std::size_t server = m_outcomes[event.index].server;
        m_servers[server].add(event.index, m_requests[event.index]);
        if (!m_isStepping[server]) {
            m_isStepping[server] = true;
            schedule(m_now + m_servers[server].beginStep(m_now), Type::StepEnd, server);
        }
        break;
    }
    case Type::StepEnd:
        stepEnded(event.index);
        break;
    case Type::AtGateway:
        eventAtGateway(event);
        break;
    case Type::ReportTaken:
        deliverReports();
        takeReports();
        schedule(m_now + ReportIntervalMs, Type::ReportTaken, 0);
        break;
    }
}

double ModelSimulation::delay(std::size_t index) const
{
    return m_outcomes[index].isRemote ? RemoteDelayMs : LocalDelayMs;
}

void ModelSimulation::arrive(std::size_t index)
{
    const ModelRequest &request = m_requests[index];
    ModelOutcome &outcome = m_outcomes[index];
    outcome.server = m_gateways[request.gateway]->send(index, request, m_now);
    outcome.isRemote = m_servers[outcome.server].spec().zone != request.gateway % Zones;
    schedule(m_now + delay(index), Type::AtServer, index);
    if (index + 1 < m_requests.size()) {
        schedule(m_requests[index + 1].atMs, Type::Arrival, index + 1);
    }
}

void ModelSimulation::stepEnded(std::size_t server)
{
    for (const ModelServer::Event &event : m_servers[server].endStep()) {
        m_events.push({m_now + delay(event.request), ++m_order, Type::AtGateway, event.request,
                       event.isLast, event.isGivenUp});
    }
    m_isStepping[server] = !m_servers[server].isIdle();
    if (m_isStepping[server]) {
        schedule(m_now + m_servers[server].beginStep(m_now), Type::StepEnd, server);
    }
}

void ModelSimulation::eventAtGateway(const Event &event)
{
    const ModelRequest &request = m_requests[event.index];
    ModelOutcome &outcome = m_outcomes[event.index];
    IModelPolicy &gateway = *m_gateways[request.gateway];
    if (event.isGivenUp) {
        gateway.ended(event.index, false, m_now);
        return;
    }
    const bool isFirst = outcome.firstEventMs < 0.0;
    if (isFirst) {
        outcome.firstEventMs = m_now - request.atMs;
        if (m_reports == ReportMode::WithAnswers) {
            gateway.observeLoad(outcome.server, m_servers[outcome.server].load(m_now), m_now);
        }
    } else {
        outcome.longestPauseMs = std::max(outcome.longestPauseMs, m_now - outcome.lastEventAt);
    }
    outcome.lastEventAt = m_now;
    gateway.eventReceived(event.index, isFirst, m_now);
    if (event.isLast) {
        outcome.isDone = true;
        gateway.ended(event.index, true, m_now);
    }
}

void ModelSimulation::takeReports()
{
    m_taken.clear();
    for (const ModelServer &server : m_servers) {
        m_taken.push_back(server.load(m_now));
    }
}

/// Hands on the reports that were taken one interval before.
void ModelSimulation::deliverReports()
{
    for (std::size_t server = 0; server < m_taken.size(); ++server) {
        for (const auto &gateway : m_gateways) {
            gateway->observeLoad(server, m_taken[server], m_now);
        }
    }
}

} // namespace lavendertally::bench
