#pragma once

#include "framework/types/endpoint.h"
#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "operatortool/types/toolcommand.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lavendertally::operatortool {

/// Command line of the tool.
struct ToolOptions
{
    ToolCommand command = ToolCommand::Help;
    /// Daemon of role entry to talk to.
    framework::Endpoint entry{"127.0.0.1", 8080};
    bool json = false;
    /// Longest time for a change, retries included.
    framework::Milliseconds timeLimit{10000};
    /// Operation to repeat; a new one when absent.
    std::optional<framework::OperationId> operation;
    /// Revision that the change is based on; read from the entry when absent.
    std::optional<framework::LogOffset> base;
    /// Paths of files to apply or check.
    std::vector<std::string> paths;
    /// File with the configuration that the checked one is compared with.
    std::optional<std::string> against;
    /// Whether the checked configuration is compared with that in force at #entry.
    bool againstActive = false;
    /// Gateways that share the limits of services.
    std::uint32_t gateways = 1;
    /// Names of files to remove.
    std::vector<std::string> removals;
    /// Zone or host to take out or bring back.
    std::string target;
    bool out = false;
    /// Daemon whose state is asked for.
    framework::Endpoint dumpEndpoint;
};

} // namespace lavendertally::operatortool
