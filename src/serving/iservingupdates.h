#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"

#include <memory>

namespace lavendertally::serving {

class ServingConfiguration;

/// Receives what the platform says about the configuration.
class IServingUpdates
{
public:
    virtual ~IServingUpdates() = default;

    /// A version was published. One that is not newer than the one in force is passed over.
    virtual void applyConfiguration(std::shared_ptr<const ServingConfiguration> configuration) = 0;

    /// Everything published before \p instant has been applied.
    virtual void confirm(framework::TimePoint instant) = 0;
};

} // namespace lavendertally::serving
