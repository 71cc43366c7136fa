#pragma once

#include "serving/iservingtracker.h"

#include <memory>

namespace lavendertally::framework {
class ILogger;
}

namespace lavendertally::serving {

/// Creates the tracker of the active configuration.
class ServingModule
{
public:
    /// \param logger records each version that becomes active; must outlive the tracker
    static std::unique_ptr<IServingTracker> makeTracker(framework::ILogger &logger);
};

} // namespace lavendertally::serving
