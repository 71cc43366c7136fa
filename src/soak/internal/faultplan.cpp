#include "soak/internal/faultplan.h"

#include "framework/frameworkmodule.h"
#include "framework/irandom.h"

#include <array>
#include <span>

namespace lavendertally::soak {

namespace {

/// Time without faults after the start of traffic.
constexpr std::int64_t FirstFault = 1000;
constexpr std::int64_t MeanGap = 450;
constexpr std::int64_t MinDuration = 150;
constexpr std::int64_t DurationSpread = 2400;
constexpr std::uint64_t Variants = 1000;

/// Kinds come as often as they stand here.
constexpr std::array AnyFault{
    FaultKind::GatewayKilled,  FaultKind::GatewayKilled,   FaultKind::AllGatewaysKilled,
    FaultKind::GatewayStopped, FaultKind::GatewayStopped,  FaultKind::GatewayPaused,
    FaultKind::GatewayPaused,  FaultKind::GatewayReloaded, FaultKind::StoreFault,
    FaultKind::StoreFault,     FaultKind::StoreLapse,      FaultKind::HistoryDropped,
    FaultKind::StoreLink,      FaultKind::StoreLink,       FaultKind::PeerLink,
    FaultKind::PeerLink,       FaultKind::ServerLink,      FaultKind::ServerLink,
    FaultKind::ServerFault,    FaultKind::ServerFault,     FaultKind::ServerBusy,
    FaultKind::StreamsBreak,   FaultKind::ServerReplaced,  FaultKind::RouteAdded,
    FaultKind::KeyRevoked,     FaultKind::ZoneOut};
constexpr std::array PlannedWork{FaultKind::GatewayStopped,  FaultKind::GatewayStopped,
                                 FaultKind::GatewayReloaded, FaultKind::HistoryDropped,
                                 FaultKind::ServerReplaced,  FaultKind::RouteAdded,
                                 FaultKind::KeyRevoked,      FaultKind::ZoneOut};

} // namespace

const char *faultName(FaultKind kind)
{
    switch (kind) {
    case FaultKind::GatewayKilled:
        return "gateway killed";
    case FaultKind::AllGatewaysKilled:
        return "all gateways killed";
    case FaultKind::GatewayStopped:
        return "gateway stopped";
    case FaultKind::GatewayPaused:
        return "gateway paused";
    case FaultKind::GatewayReloaded:
        return "gateway reloaded";
    case FaultKind::StoreFault:
        return "store fault";
    case FaultKind::StoreLapse:
        return "store away, registrations lapse";
    case FaultKind::HistoryDropped:
        return "store's history dropped";
    case FaultKind::StoreLink:
        return "link to the store";
    case FaultKind::PeerLink:
        return "links to a gateway";
    case FaultKind::ServerLink:
        return "link to a server";
    case FaultKind::ServerFault:
        return "server fault";
    case FaultKind::ServerBusy:
        return "server full";
    case FaultKind::StreamsBreak:
        return "streams break";
    case FaultKind::ServerReplaced:
        return "server replaced";
    case FaultKind::RouteAdded:
        return "route added";
    case FaultKind::KeyRevoked:
        return "key revoked";
    case FaultKind::ZoneOut:
        return "zone out";
    }
    return "unknown";
}

std::vector<PlannedFault> makeFaultPlan(const SoakOptions &options)
{
    const auto random = framework::FrameworkModule::makeRandom(options.seed);
    const std::span<const FaultKind> kinds = options.planned
        ? std::span<const FaultKind>(PlannedWork)
        : std::span<const FaultKind>(AnyFault);
    const auto below = [&random](std::int64_t bound) {
        return static_cast<std::int64_t>(random->below(static_cast<std::uint64_t>(bound)));
    };
    std::vector<PlannedFault> plan;
    std::int64_t at = FirstFault;
    while (at < options.duration.value()) {
        PlannedFault fault;
        fault.at = framework::Milliseconds(at);
        fault.kind = kinds[random->below(kinds.size())];
        fault.target = static_cast<std::size_t>(random->below(Variants));
        fault.duration = framework::Milliseconds(MinDuration + below(DurationSpread));
        fault.variant = random->below(Variants);
        plan.push_back(fault);
        at += 1 + below(2 * MeanGap);
    }
    return plan;
}

} // namespace lavendertally::soak
