#pragma once

#include "bench/internal/scenario.h"
#include "bench/internal/site.h"
#include "bench/internal/summary.h"

#include <string>
#include <vector>

namespace lavendertally::bench {

/// One figure against what it should be.
struct Target
{
    std::string name;
    double measured = 0.0;
    double bound = 0.0;
    bool atLeast = true;

    bool isMet() const { return atLeast ? measured >= bound : measured <= bound; }
};

/// \param reference the same scenario undisturbed, or without deadlines at low load
std::vector<Target> judge(const Site &site, const Scenario &scenario, const Summary &policy,
                          const Summary &reference);

} // namespace lavendertally::bench
