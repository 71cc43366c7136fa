#include "entry/entrymodule.h"

#include "entry/internal/entrydaemon.h"

namespace lavendertally::entry {

std::unique_ptr<framework::IDaemon>
EntryModule::makeDaemon(const configuration::DaemonSettings &settings, framework::IEventLoop &loop)
{
    return std::make_unique<EntryDaemon>(settings, loop);
}

} // namespace lavendertally::entry
