#include "framework/frameworkmodule.h"

#include "framework/internal/boostlogger.h"
#include "framework/internal/eventloop.h"
#include "framework/internal/histogrammetrics.h"
#include "framework/internal/seededrandom.h"
#include "framework/internal/systemclock.h"

#include <random>

namespace lavendertally::framework {

std::unique_ptr<IClock> FrameworkModule::makeSystemClock()
{
    return std::make_unique<SystemClock>();
}

std::unique_ptr<IEventLoop> FrameworkModule::makeEventLoop()
{
    return std::make_unique<EventLoop>();
}

std::unique_ptr<ILogger> FrameworkModule::makeLogger(const std::string &component, LogFormat format)
{
    return std::make_unique<BoostLogger>(component, format);
}

std::unique_ptr<IMetrics> FrameworkModule::makeMetrics()
{
    return std::make_unique<HistogramMetrics>();
}

std::unique_ptr<IRandom> FrameworkModule::makeRandom(std::uint64_t seed)
{
    return std::make_unique<SeededRandom>(seed);
}

std::uint64_t FrameworkModule::entropySeed()
{
    constexpr int HalfBits = 32;
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << HalfBits) | device();
}

} // namespace lavendertally::framework
