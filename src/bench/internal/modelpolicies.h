#pragma once

#include "bench/internal/imodelpolicy.h"
#include "bench/internal/modelserver.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace lavendertally::bench {

/// Selectors that the work bench compares.
enum class ModelPolicyKind
{
    /// The product's selector without any work in its queries, as before.
    Today,
    /// Fewest calls, own and reported.
    Calls,
    /// The product's selector.
    Work,
    /// Knows the present state of all servers.
    Knowing,
};

const char *nameOf(ModelPolicyKind kind);

/// \param servers outlive the policy
std::unique_ptr<IModelPolicy> makeModelPolicy(ModelPolicyKind kind,
                                              const std::vector<ModelServer> &servers,
                                              std::size_t zone, std::uint64_t seed);

} // namespace lavendertally::bench
