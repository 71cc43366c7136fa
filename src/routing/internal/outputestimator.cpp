#include "routing/internal/outputestimator.h"

#include "routing/types/requestwork.h"

#include <algorithm>
#include <cmath>

namespace lavendertally::routing {

namespace {

/// Weight of the newest sample once there are many.
constexpr double SmoothingFactor = 0.05;
/// Samples of a team from which they are used instead of those of the whole route.
constexpr std::uint32_t MinTeamSamples = 8;
/// Length of an answer while nothing is known of it: about 40 events of 8 tokens.
constexpr double DefaultTokens = 320.0;
/// Variance of the logarithm that is assumed while there are few samples: a factor of two.
constexpr double InitialLogVariance = 0.5;
/// Smallest variance, so that neither source is ever taken as exact.
constexpr double MinLogVariance = 0.01;
/// Entries above which the averages of teams are learned anew: two routes for each of 8,100 teams.
constexpr std::size_t MaxTeams = 16384;

void observe(double &mean, double &variance, std::uint32_t &samples, double value)
{
    ++samples;
    const double weight = std::max(SmoothingFactor, 1.0 / samples);
    const double delta = value - mean;
    mean += weight * delta;
    variance = (1.0 - weight) * (variance + weight * delta * delta);
}

double varianceOf(double variance, std::uint32_t samples)
{
    // The prior counts as one sample.
    const double count = samples;
    return std::max((variance * count + InitialLogVariance) / (count + 1.0), MinLogVariance);
}

} // namespace

const OutputEstimator::Length *OutputEstimator::find(const RequestWork &work) const
{
    const auto team = m_teams.find({work.route, work.team});
    if (team != m_teams.end() && team->second.samples >= MinTeamSamples) {
        return &team->second;
    }
    const auto route = m_routes.find(work.route);
    return route != m_routes.end() ? &route->second : nullptr;
}

double OutputEstimator::estimate(const RequestWork &work) const
{
    const Length *length = find(work);
    const bool isLimited = work.maxOutputTokens > framework::TokenCount(0);
    const auto limit = static_cast<double>(work.maxOutputTokens.value());
    double expected = std::log(isLimited ? std::min(limit, DefaultTokens) : DefaultTokens);
    double learnedVariance = 2.0 * InitialLogVariance;
    if (length != nullptr) {
        expected = length->logMean;
        learnedVariance = varianceOf(length->logVariance, length->samples);
    }
    if (work.lengthHint && *work.lengthHint > framework::TokenCount(0)) {
        const double hint = std::log(static_cast<double>(work.lengthHint->value()));
        const double ratio = length != nullptr ? length->hintLogMean : 0.0;
        const double hintVariance = length != nullptr
            ? varianceOf(length->hintLogVariance, length->hints)
            : InitialLogVariance;
        const double weight = learnedVariance / (learnedVariance + hintVariance);
        expected = weight * (hint + ratio) + (1.0 - weight) * expected;
    }
    const double tokens = std::exp(expected);
    return std::max(isLimited ? std::min(tokens, limit) : tokens, 1.0);
}

void OutputEstimator::observe(const RequestWork &work, double tokens)
{
    observe(m_routes[work.route], work, tokens);
    if (m_teams.size() >= MaxTeams) {
        m_teams.clear();
    }
    observe(m_teams[{work.route, work.team}], work, tokens);
}

void OutputEstimator::observe(Length &length, const RequestWork &work, double tokens)
{
    const double value = std::log(std::max(tokens, 1.0));
    routing::observe(length.logMean, length.logVariance, length.samples, value);
    if (work.lengthHint && *work.lengthHint > framework::TokenCount(0)) {
        const double hint = std::log(static_cast<double>(work.lengthHint->value()));
        routing::observe(length.hintLogMean, length.hintLogVariance, length.hints, value - hint);
    }
}

} // namespace lavendertally::routing
