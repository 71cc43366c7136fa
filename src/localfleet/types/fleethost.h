#pragma once

#include "framework/types/endpoint.h"
#include "membership/types/hostentry.h"

#include <memory>
#include <string>

namespace lavendertally::localfleet {

class ChildProcess;

/// One host of a local fleet: its daemon, and the stand-in of its backend server if it has one.
struct FleetHost
{
    membership::HostEntry entry;
    std::string settingsFile;
    std::shared_ptr<ChildProcess> daemon;
    std::shared_ptr<ChildProcess> backend;
    framework::Endpoint backendEndpoint;
};

} // namespace lavendertally::localfleet
