#pragma once

#include "bench/internal/modelload.h"
#include "bench/internal/modelpolicies.h"
#include "bench/internal/modelserver.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <tuple>
#include <vector>

namespace lavendertally::bench {

/// How gateways get the reports of servers.
enum class ReportMode
{
    /// All gateways read the same reports, 100 ms old, ten times a second.
    Shared,
    /// A gateway gets a report with the first event of each answer only.
    WithAnswers,
};

/// What became of one request.
struct ModelOutcome
{
    double firstEventMs = -1.0;
    double longestPauseMs = 0.0;
    double lastEventAt = 0.0;
    std::size_t server = 0;
    bool isRemote = false;
    bool isDone = false;
};

/// Event simulation of gateways and model servers; deterministic for one seed.
class ModelSimulation
{
public:
    /// \param requests outlive the simulation
    ModelSimulation(const std::vector<ModelRequest> &requests, std::vector<ModelServerSpec> specs,
                    std::size_t gateways, ModelPolicyKind policy, ReportMode reports,
                    std::uint64_t seed);
    ~ModelSimulation();

    /// Plays all requests to their end or to the end of the time.
    void run(double untilMs);

    const std::vector<ModelOutcome> &outcomes() const { return m_outcomes; }
    const std::vector<ModelServer> &servers() const { return m_servers; }

private:
    enum class Type
    {
        Arrival,
        AtServer,
        StepEnd,
        AtGateway,
        ReportTaken,
    };
    struct Event
    {
        double at = 0.0;
        std::uint64_t order = 0;
        Type type = Type::Arrival;
        std::size_t index = 0;
        bool isLast = false;
        bool isGivenUp = false;

        bool operator>(const Event &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void schedule(double at, Type type, std::size_t index);
    void handle(const Event &event);
    void arrive(std::size_t index);
    void stepEnded(std::size_t server);
    void eventAtGateway(const Event &event);
    void takeReports();
    void deliverReports();
    double delay(std::size_t index) const;

    const std::vector<ModelRequest> &m_requests;
    std::vector<ModelServer> m_servers;
    std::vector<bool> m_isStepping;
    std::vector<std::unique_ptr<IModelPolicy>> m_gateways;
    std::vector<ModelOutcome> m_outcomes;
    ReportMode m_reports;
    std::vector<routing::ServerLoad> m_taken;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_order = 0;
    double m_now = 0.0;
};

/// \return 58 servers in three zones, a quarter of them at half speed
std::vector<ModelServerSpec> makeModelServers(double durationMs, std::uint64_t seed);

/// \return requests a second that \p servers can read if no shared part is read twice
double capacityOf(const std::vector<ModelServerSpec> &servers);

} // namespace lavendertally::bench
