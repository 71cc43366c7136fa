#pragma once

#include <memory>

namespace lavendertally::configuration {
struct DaemonSettings;
}

namespace lavendertally::framework {
class IDaemon;
class IEventLoop;
} // namespace lavendertally::framework

namespace lavendertally::entry {

/// Factory of the entry, the daemon that serves callers and operators.
class EntryModule
{
public:
    /// \param settings copied
    /// \param loop outlives the daemon
    /// \return daemon that is not yet started
    static std::unique_ptr<framework::IDaemon>
    makeDaemon(const configuration::DaemonSettings &settings, framework::IEventLoop &loop);
};

} // namespace lavendertally::entry
