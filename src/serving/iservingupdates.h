#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"

#include <memory>

namespace lavendertally::serving {

class ServingConfiguration;

/// Receives configuration updates from the platform.
class IServingUpdates
{
public:
    virtual ~IServingUpdates() = default;

    /// A version was published. It becomes active if it is newer than the active one, and is
    /// ignored otherwise.
    virtual void applyConfiguration(std::shared_ptr<const ServingConfiguration> configuration) = 0;

    /// Every version published before \p instant has been applied. Ignored before the first version
    /// and if a later instant has been confirmed already.
    virtual void confirm(framework::TimePoint instant) = 0;
};

} // namespace lavendertally::serving
