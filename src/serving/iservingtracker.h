#pragma once

#include "serving/iservingstate.h"
#include "serving/iservingupdates.h"

#include <functional>

namespace lavendertally::serving {

/// Keeps the configuration in force. Versions only rise.
class IServingTracker : public IServingState, public IServingUpdates
{
public:
    /// \param callback called after each version that came into force
    virtual void onChange(std::function<void()> callback) = 0;
};

} // namespace lavendertally::serving
