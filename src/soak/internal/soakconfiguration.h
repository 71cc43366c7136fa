#pragma once

#include <cstddef>
#include <string>

namespace lavendertally::soak {

/// What a run changes in the configuration.
struct SoakConfiguration
{
    int version = 1;
    /// Keys of team 1 and the next ones that are revoked.
    std::size_t revokedKeys = 0;
    bool hasAddedRoute = false;

    /// \return the configuration as operators write it to the store
    std::string text() const;
};

} // namespace lavendertally::soak
