#include "bench/internal/modelload.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <random>

namespace lavendertally::bench {

namespace {

/// Distinct shared prompts of the urgent kind, the most frequent first (Zipf).
constexpr std::size_t SharedPrompts = 120;
/// System parts that several of these begin with.
constexpr std::size_t SystemParts = 8;
constexpr std::int64_t SystemTokens = 1382;
constexpr std::int64_t DocumentTokens = 4000;
constexpr double UrgentOwnTokens = 6610.0;
constexpr double MaxOwnTokens = 54600.0;
constexpr double ShortTokens = 628.0;
constexpr double MediumTokens = 1800.0;
constexpr double UrgentShare = 0.7;
constexpr double ShortShare = 0.15;
constexpr double MediumShare = 0.15;
/// Spread of the logarithm of a prompt's size and of a client's estimate of its answer.
constexpr double SizeSpread = 1.0;
constexpr double HintSpread = 0.8;
/// Time that a client waits beyond the objective, as a share of it.
constexpr double PatienceShare = 1.5;
constexpr double LargeTenth = 0.9;

class Drawer
{
public:
    explicit Drawer(std::uint64_t seed) : m_engine(seed)
    {
        std::vector<double> weights;
        for (std::size_t rank = 1; rank <= SharedPrompts; ++rank) {
            weights.push_back(1.0 / static_cast<double>(rank));
        }
        m_prompts = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    }

    double uniform(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(m_engine);
    }
    double exponential(double mean)
    {
        return std::exponential_distribution<double>(1.0 / mean)(m_engine);
    }
    /// \return a log-normal value with \p mean before it is cut at \p max
    double size(double mean, double max)
    {
        const double mu = std::log(mean) - SizeSpread * SizeSpread / 2.0;
        return std::clamp(std::lognormal_distribution<double>(mu, SizeSpread)(m_engine), 20.0, max);
    }
    double factor(double spread)
    {
        return std::lognormal_distribution<double>(0.0, spread)(m_engine);
    }
    std::size_t sharedPrompt() { return m_prompts(m_engine); }

private:
    std::mt19937_64 m_engine;
    std::discrete_distribution<std::size_t> m_prompts;
};

void addPart(ModelRequest &request, std::uint64_t id, double tokens)
{
    const auto size = static_cast<std::int64_t>(tokens);
    request.parts.push_back({framework::PromptPartId(id), framework::TokenCount(size)});
    request.promptTokens += size;
}

std::int64_t events(Drawer &drawer, double low, double high)
{
    return static_cast<std::int64_t>(drawer.uniform(low, high + 1.0));
}

void fillByKind(ModelRequest &request, Drawer &drawer, std::uint64_t ownPart)
{
    constexpr double Objectives[] = {1200.0, 2000.0, 4000.0};
    constexpr double Pauses[] = {300.0, 400.0, 500.0};
    constexpr std::int64_t TokensPerEvent[] = {8, 6, 10};
    const auto kind = static_cast<std::size_t>(request.kind);
    std::int64_t count = 0;
    if (request.kind == ModelKind::Urgent) {
        const std::size_t prompt = drawer.sharedPrompt();
        addPart(request, 1 + prompt % SystemParts, SystemTokens);
        addPart(request, 1000 + prompt, DocumentTokens);
        addPart(request, ownPart, drawer.size(UrgentOwnTokens, MaxOwnTokens));
        count = events(drawer, 38, 48);
    } else if (request.kind == ModelKind::Short) {
        addPart(request, ownPart, drawer.size(ShortTokens, MaxOwnTokens));
        count = events(drawer, 1, 40);
    } else {
        addPart(request, ownPart, drawer.size(MediumTokens, MaxOwnTokens));
        count = events(drawer, 20, 140);
    }
    // Stages have taken their part of the objective.
    request.objectiveLeftMs = Objectives[kind] - drawer.uniform(300.0, 900.0);
    request.timeoutMs = request.objectiveLeftMs + PatienceShare * Objectives[kind];
    request.maxPauseMs = Pauses[kind];
    request.tokensPerEvent = TokensPerEvent[kind];
    request.outputTokens = count * request.tokensPerEvent;
    request.maxOutputTokens = 150 * request.tokensPerEvent;
    request.lengthHint =
        std::max<std::int64_t>(static_cast<std::int64_t>(static_cast<double>(request.outputTokens)
                                                         * drawer.factor(HintSpread)),
                               1);
}

void markLarge(std::vector<ModelRequest> &requests)
{
    std::map<ModelKind, std::vector<std::int64_t>> sizes;
    for (const ModelRequest &request : requests) {
        sizes[request.kind].push_back(request.promptTokens);
    }
    std::map<ModelKind, std::int64_t> bounds;
    for (auto &[kind, values] : sizes) {
        const auto index =
            static_cast<std::ptrdiff_t>(LargeTenth * static_cast<double>(values.size()));
        std::nth_element(values.begin(), values.begin() + index, values.end());
        bounds[kind] = values[static_cast<std::size_t>(index)];
    }
    for (ModelRequest &request : requests) {
        request.isLarge = request.promptTokens >= bounds[request.kind];
    }
}

} // namespace

double meanOwnTokens()
{
    return UrgentShare * UrgentOwnTokens + ShortShare * ShortTokens + MediumShare * MediumTokens;
}

std::vector<ModelRequest> drawModelRequests(const ModelLoad &load)
{
    constexpr std::uint64_t FirstOwnPart = 1000000;
    constexpr double MillisecondsPerSecond = 1000.0;
    Drawer drawer(load.seed);
    std::vector<ModelRequest> requests;
    double now = 0.0;
    while (true) {
        now += drawer.exponential(MillisecondsPerSecond / load.requestsPerSecond);
        if (now >= load.durationMs) {
            break;
        }
        ModelRequest request;
        request.atMs = now;
        request.gateway =
            static_cast<std::size_t>(drawer.uniform(0.0, static_cast<double>(load.gateways)));
        const double kind = drawer.uniform(0.0, 1.0);
        request.kind = kind < UrgentShare     ? ModelKind::Urgent
            : kind < UrgentShare + ShortShare ? ModelKind::Short
                                              : ModelKind::Medium;
        fillByKind(request, drawer, FirstOwnPart + requests.size());
        requests.push_back(std::move(request));
    }
    markLarge(requests);
    return requests;
}

} // namespace lavendertally::bench
