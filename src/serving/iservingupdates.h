#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"

#include <memory>
#include <optional>

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

    /// A version was published that cannot be used. What it changes is not known, so the active one
    /// is not confirmed any more, until a newer version becomes active.
    /// \param version its number; nothing if that cannot be read either. Ignored if the active one
    /// is as new
    virtual void rejectConfiguration(std::optional<framework::ConfigurationVersion> version) = 0;

    /// Every version published before \p instant has been applied or rejected. Ignored before the
    /// first version, after one was rejected, and if a later instant has been confirmed already.
    virtual void confirm(framework::TimePoint instant) = 0;
};

} // namespace lavendertally::serving
