#pragma once

#include "serving/iservingstate.h"
#include "serving/iservingupdates.h"

#include <functional>

namespace lavendertally::serving {

/// Holds the active configuration and notifies listeners of changes. The version only increases.
class IServingTracker : public IServingState, public IServingUpdates
{
public:
    /// \param callback called each time after a new version has become active
    virtual void onChange(std::function<void()> callback) = 0;
};

} // namespace lavendertally::serving
