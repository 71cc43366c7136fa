#pragma once

#include "framework/types/timepoint.h"

#include <memory>

namespace lavendertally::serving {

class ServingConfiguration;

/// Read access to the configuration that is active in this process.
class IServingState
{
public:
    virtual ~IServingState() = default;

    /// \return the newest known version, or null if none has been received yet
    virtual std::shared_ptr<const ServingConfiguration> configuration() const = 0;

    /// \return the latest time at which configuration() is known to have been the newest published
    /// version; TimePoint() if it has not been confirmed yet
    virtual framework::TimePoint confirmedAt() const = 0;

    /// \return whether the newest published version cannot be used
    virtual bool isNewestRejected() const = 0;
};

} // namespace lavendertally::serving
