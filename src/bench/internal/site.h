#pragma once

#include "bench/internal/workload.h"
#include "configuration/types/configuration.h"
#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lavendertally::bench {

/// Size and traffic of one user.
struct Site
{
    std::string name;
    configuration::Configuration configuration;
    std::vector<Workload> workloads;
    std::map<framework::ServiceId, std::uint32_t> workers;
    /// Part of the requests of each team, relative to the others.
    std::map<framework::TeamId, std::uint32_t> teamWeights;
    std::uint32_t entries = 3;
    /// One way between a caller and an entry.
    framework::Milliseconds callerDelay;

    /// \return requests a second, in this mix, that keep the busiest service fully occupied
    double capacity() const;
    /// \return the service that limits capacity()
    framework::ServiceId busiestService() const;
    const configuration::Pipeline &pipeline(const Workload &workload) const
    {
        return configuration.pipelines.at(workload.pipeline);
    }

private:
    /// \return requests a second, in this mix, that keep each service fully occupied
    std::map<framework::ServiceId, double> capacities() const;
};

/// \return today's size of Alföldi Biogáz Szövetkezet
Site makeCooperative();

/// \return today's size of Caddo Plains Molded Fiber Returns
Site makeCaddo();

} // namespace lavendertally::bench
