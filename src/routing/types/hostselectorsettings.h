#pragma once

#include "framework/types/milliseconds.h"

#include <cstdint>

namespace lavendertally::routing {

/// Parameters of the load-aware selector.
struct HostSelectorSettings
{
    /// Entries of its own zone that have each backend server in their subset.
    std::uint32_t localEntriesPerWorker = 8;
    /// Entries of other zones that have each backend server in their subset.
    std::uint32_t remoteEntriesPerWorker = 4;
    /// Backend servers of each service that each entry has at least, in its zone and in the others.
    std::uint32_t localWorkersPerEntry = 6;
    std::uint32_t remoteWorkersPerEntry = 6;
    /// Backend servers that are compared for a call, in the local zone and in the others.
    std::uint32_t choices = 2;
    /// Utilisation, in percent, by which a backend server of another zone must be lower.
    std::uint32_t remotePenaltyPercent = 10;
    /// Age at which a load report counts no more.
    framework::Milliseconds reportLifetime{250};
    /// Age at which the report of a backend server in cold start shows no room any more.
    framework::Milliseconds coldReportLifetime{250};
    /// Longest load above the average, in percent of it, that prompt prefix affinity may cause.
    std::uint32_t affinityLoadPercent = 125;
    /// Utilisation, in percent, up to which prompt prefix affinity is followed in any case.
    std::uint32_t affinityFreePercent = 40;
    framework::Milliseconds minEjection{500};
    framework::Milliseconds maxEjection{30000};
    /// Age of a report at which a backend server is worth a probe.
    framework::Milliseconds probeAge{1000};
    /// Probes that one call of hostsToProbe() may ask for.
    std::uint32_t maxProbes = 4;
};

} // namespace lavendertally::routing
