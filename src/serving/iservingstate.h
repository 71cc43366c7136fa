#pragma once

#include "framework/types/timepoint.h"

#include <memory>

namespace lavendertally::serving {

class ServingConfiguration;

/// The configuration in force in this process.
class IServingState
{
public:
    virtual ~IServingState() = default;

    /// \return the newest version known, or null while none is
    virtual std::shared_ptr<const ServingConfiguration> configuration() const = 0;

    /// \return the latest instant at which configuration() is known to have been the newest
    /// version; TimePoint() while none is known
    virtual framework::TimePoint confirmedAt() const = 0;
};

} // namespace lavendertally::serving
