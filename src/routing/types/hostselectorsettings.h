#pragma once

#include "framework/types/milliseconds.h"

#include <cstdint>

namespace lavendertally::routing {

/// Parameters of the load-aware host selector, its subsets and its probes.
struct HostSelectorSettings
{
    /// Entries of its own zone that each backend host chooses; it is in their subsets.
    std::uint32_t localEntriesPerBackend = 8;
    /// Entries of other zones that each backend host chooses; it is in their subsets.
    std::uint32_t remoteEntriesPerBackend = 4;
    /// Backend hosts of its own zone that each entry chooses for each service.
    std::uint32_t localBackendsPerEntry = 6;
    /// Backend hosts of other zones that each entry chooses for each service.
    std::uint32_t remoteBackendsPerEntry = 6;
    /// Random backend hosts compared for a call: so many of the local zone and so many of the
    /// others.
    std::uint32_t choices = 2;
    /// Added to the utilisation, in percent, of backend hosts in other zones.
    std::uint32_t remotePenaltyPercent = 10;
    /// Age at which the weight of a load report reaches zero.
    framework::Milliseconds reportLifetime{250};
    /// Age from which a report of a backend host in cold start no longer proves free capacity, and
    /// from which a host in cold start or with recent failures is probed.
    framework::Milliseconds coldReportLifetime{250};
    /// Highest load, in percent of the average, up to which prompt prefix affinity is followed.
    std::uint32_t affinityLoadBoundPercent = 125;
    /// Utilisation, in percent, up to which prompt prefix affinity is followed even above that
    /// bound.
    std::uint32_t affinityUnboundedPercent = 40;
    /// Ejection after a first failure; it doubles with each further failure in a row.
    framework::Milliseconds minEjection{500};
    framework::Milliseconds maxEjection{30000};
    /// Age of a report from which any other backend host is probed.
    framework::Milliseconds probeAge{1000};
    /// Highest number of hosts that one call of hostsToProbe() returns.
    std::uint32_t maxProbes = 4;
};

} // namespace lavendertally::routing
