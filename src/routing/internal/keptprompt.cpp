#include "routing/internal/keptprompt.h"

#include "routing/internal/servicework.h"
#include "routing/types/requestwork.h"

#include <algorithm>
#include <cmath>

namespace lavendertally::routing {

namespace {

/// Homes for each server's share of the requests. Above one, since a home that is busy must be
/// relieved by another one that keeps the parts as well.
constexpr double HomesPerShare = 5.0;
/// Requests that a server is assumed to get while it keeps a part that none of them uses: gives the
/// probability that a part of many prompts is kept by any server. Not measured; chosen among 0.1 to
/// 30 by the share in time in the work bench.
constexpr double RequestsWhileKept = 30.0;

/// \return whether part \p index is not the request's or the session's own
bool isShared(const RequestWork &work, std::size_t index)
{
    return index + 1 < work.parts.size();
}

/// \return whether part \p index is the one by which the homes are chosen. Other servers keep it
/// only if they got it from this daemon; the parts before it come with other prompts as well.
bool isLastShared(const RequestWork &work, std::size_t index)
{
    return index + 2 == work.parts.size();
}

template <typename Probability>
double sumKept(const RequestWork &work, Probability probability)
{
    double kept = 0.0;
    double allBefore = 1.0;
    for (std::size_t index = 0; index < work.parts.size(); ++index) {
        allBefore *= probability(index);
        kept += allBefore * static_cast<double>(work.parts[index].tokens.value());
    }
    return std::min(kept, static_cast<double>(work.promptTokens.value()));
}

} // namespace

double keptByOwnCalls(const ServiceWork &service, const RequestWork &work, std::uint64_t server,
                      framework::TimePoint now)
{
    return sumKept(work, [&](std::size_t index) {
        return service.prompts().keptByOwnCall(work.parts[index].id, server, now);
    });
}

double keptTokens(const ServiceWork &service, const RequestWork &work, std::uint64_t server,
                  double home, framework::TimePoint now)
{
    return sumKept(work, [&](std::size_t index) {
        const framework::PromptPartId part = work.parts[index].id;
        const double own = service.prompts().keptByOwnCall(part, server, now);
        if (!isShared(work, index)) {
            return own;
        }
        if (isLastShared(work, index)) {
            return std::max(own, home);
        }
        const double anywhere =
            1.0 - std::exp(-RequestsWhileKept * service.prompts().share(part, now));
        return std::max({own, home, anywhere});
    });
}

std::size_t homesOf(const ServiceWork &service, const RequestWork &work, std::size_t servers,
                    framework::TimePoint now)
{
    if (work.parts.empty() || servers == 0) {
        return std::min<std::size_t>(servers, 1);
    }
    const std::size_t last = work.parts.size() - std::min<std::size_t>(work.parts.size(), 2);
    const double share = service.prompts().share(work.parts[last].id, now);
    const double homes = std::ceil(HomesPerShare * share * static_cast<double>(servers));
    return std::clamp<std::size_t>(static_cast<std::size_t>(homes), 1, servers);
}

} // namespace lavendertally::routing
