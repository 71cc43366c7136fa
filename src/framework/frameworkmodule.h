#pragma once

#include "framework/types/logformat.h"

#include <cstdint>
#include <memory>
#include <string>

namespace lavendertally::framework {

class IClock;
class IEventLoop;
class ILogger;
class IMetrics;
class IRandom;

/// Makes the framework's implementations.
class FrameworkModule
{
public:
    static std::unique_ptr<IClock> makeSystemClock();
    static std::unique_ptr<IEventLoop> makeEventLoop();

    /// \param component name of the program or role, written on every line
    static std::unique_ptr<ILogger> makeLogger(const std::string &component, LogFormat format);
    static std::unique_ptr<IMetrics> makeMetrics();
    static std::unique_ptr<IRandom> makeRandom(std::uint64_t seed);

    /// \return a seed that differs from process to process
    static std::uint64_t entropySeed();
};

} // namespace lavendertally::framework
