#include "serving/servingmodule.h"

#include "serving/internal/servingtracker.h"

namespace lavendertally::serving {

std::unique_ptr<IServingTracker> ServingModule::makeTracker(framework::ILogger &logger)
{
    return std::make_unique<ServingTracker>(logger);
}

} // namespace lavendertally::serving
