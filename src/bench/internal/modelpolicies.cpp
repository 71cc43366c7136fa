#include "bench/internal/modelpolicies.h"

#include "bench/internal/modelrequest.h"
#include "bench/internal/modelselectorpolicy.h"

#include <algorithm>
#include <random>
#include <unordered_map>

namespace lavendertally::bench {

namespace {

/// Own calls and those of others from the last report; the server with the fewest, any of equals.
class CallCountPolicy final : public IModelPolicy
{
public:
    CallCountPolicy(std::size_t servers, std::uint64_t seed)
        : m_own(servers, 0), m_others(servers, 0), m_engine(seed)
    { }

    std::size_t send(std::size_t index, const ModelRequest & /*request*/, double /*now*/) override
    {
        std::size_t best = 0;
        std::uint64_t bestKey = UINT64_MAX;
        for (std::size_t server = 0; server < m_own.size(); ++server) {
            const std::uint64_t key =
                (static_cast<std::uint64_t>(m_own[server] + m_others[server]) << TieBits)
                | (m_engine() & ((1U << TieBits) - 1));
            if (key < bestKey) {
                best = server;
                bestKey = key;
            }
        }
        ++m_own[best];
        m_serverOf[index] = best;
        return best;
    }
    void eventReceived(std::size_t /*index*/, bool /*isFirst*/, double /*now*/) override { }
    void ended(std::size_t index, bool /*isWhole*/, double /*now*/) override
    {
        const auto found = m_serverOf.find(index);
        --m_own[found->second];
        m_serverOf.erase(found);
    }
    void observeLoad(std::size_t server, const routing::ServerLoad &load, double /*now*/) override
    {
        const std::uint32_t total = load.running + load.waiting;
        m_others[server] = total > m_own[server] ? total - m_own[server] : 0;
    }

private:
    static constexpr std::uint32_t TieBits = 16;

    std::vector<std::uint32_t> m_own;
    std::vector<std::uint32_t> m_others;
    std::unordered_map<std::size_t, std::size_t> m_serverOf;
    std::mt19937_64 m_engine;
};

/// Weighs all servers by what is in them now: unread tokens, kept parts, running requests and
/// present speed. No gateway can know this; it shows what is left to gain.
class KnowingPolicy final : public IModelPolicy
{
public:
    KnowingPolicy(const std::vector<ModelServer> &servers, std::size_t zone)
        : m_servers(servers), m_zone(zone)
    { }

    std::size_t send(std::size_t /*index*/, const ModelRequest &request, double now) override
    {
        std::size_t best = 0;
        double bestCost = 0.0;
        double waiting = 0.0;
        for (const ModelServer &server : m_servers) {
            waiting += static_cast<double>(server.waiting());
        }
        m_meanWaiting = waiting / static_cast<double>(m_servers.size());
        for (std::size_t server = 0; server < m_servers.size(); ++server) {
            const double cost = costAt(m_servers[server], request, now);
            if (server == 0 || cost < bestCost) {
                best = server;
                bestCost = cost;
            }
        }
        return best;
    }
    void eventReceived(std::size_t /*index*/, bool /*isFirst*/, double /*now*/) override { }
    void ended(std::size_t /*index*/, bool /*isWhole*/, double /*now*/) override { }
    void observeLoad(std::size_t /*server*/, const routing::ServerLoad & /*load*/,
                     double /*now*/) override
    { }

private:
    double costAt(const ModelServer &server, const ModelRequest &request, double now) const
    {
        constexpr double ChunkTokens = 1024.0;
        constexpr double MsPerRunning = 0.02;
        constexpr double ZoneCostMs = 60.0;
        constexpr double NeighbourWeight = 0.05;
        constexpr double WriteWeight = 0.1;
        constexpr double BrokenCostMs = 30.0;
        constexpr double FullCostMs = 100.0;
        constexpr double LateCostMs = 200.0;
        constexpr double LatenessWeight = 0.01;
        constexpr double HopelessWaitMs = 1500.0;
        constexpr std::size_t Slots = 60;
        const double slowdown = server.slowdown(now);
        const auto running = static_cast<double>(server.running());
        const double stepMs = (server.spec().stepMs + MsPerRunning * running) * slowdown;
        const double readMs = slowdown / server.spec().tokensPerMs + stepMs / ChunkTokens;
        const double own =
            static_cast<double>(request.promptTokens - server.keptTokens(request)) * readMs;
        const double first = server.unreadTokens() * readMs + own
            + static_cast<double>(request.tokensPerEvent) * stepMs;
        const double late = first <= request.objectiveLeftMs ? first
                                                             : request.objectiveLeftMs + LateCostMs
                + LatenessWeight * (first - request.objectiveLeftMs);
        const double waitMs = server.unreadTokens() * readMs;
        const double inTime = std::max(1.0 - waitMs / HopelessWaitMs, 0.0);
        const double write = static_cast<double>(request.outputTokens) * stepMs;
        const double pause = static_cast<double>(request.tokensPerEvent) * readMs * ChunkTokens;
        const double broken = pause > request.maxPauseMs ? running : 0.0;
        const double full = server.running() + server.waiting() >= Slots
            ? FullCostMs * static_cast<double>(server.running() + server.waiting() - Slots + 1)
            : 0.0;
        return late + WriteWeight * write + BrokenCostMs * broken + full
            + NeighbourWeight * own * running + own * m_meanWaiting * inTime
            + (server.spec().zone == m_zone ? 0.0 : ZoneCostMs);
    }

    const std::vector<ModelServer> &m_servers;
    std::size_t m_zone;
    double m_meanWaiting = 0.0;
};

} // namespace

const char *nameOf(ModelPolicyKind kind)
{
    switch (kind) {
    case ModelPolicyKind::Today:
        return "today";
    case ModelPolicyKind::Calls:
        return "calls";
    case ModelPolicyKind::Work:
        return "work";
    case ModelPolicyKind::Knowing:
        return "knowing";
    }
    return "";
}

std::unique_ptr<IModelPolicy> makeModelPolicy(ModelPolicyKind kind,
                                              const std::vector<ModelServer> &servers,
                                              std::size_t zone, std::uint64_t seed)
{
    switch (kind) {
    case ModelPolicyKind::Calls:
        return std::make_unique<CallCountPolicy>(servers.size(), seed);
    case ModelPolicyKind::Knowing:
        return std::make_unique<KnowingPolicy>(servers, zone);
    case ModelPolicyKind::Today:
    case ModelPolicyKind::Work:
        break;
    }
    return std::make_unique<ModelSelectorPolicy>(servers, zone, seed,
                                                 kind == ModelPolicyKind::Work);
}

} // namespace lavendertally::bench
