#pragma once

#include "serving/iservingtracker.h"

#include <memory>

namespace lavendertally::framework {
class ILogger;
}

namespace lavendertally::serving {

/// Makes the state of the configuration in force.
class ServingModule
{
public:
    /// \param logger hears of each version that comes into force
    static std::unique_ptr<IServingTracker> makeTracker(framework::ILogger &logger);
};

} // namespace lavendertally::serving
