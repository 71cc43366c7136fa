#pragma once

#include "framework/types/ids.h"

namespace lavendertally::stages {

/// Identifies a job across all daemons.
struct JobKey
{
    framework::DaemonId owner;
    framework::RequestId request;

    auto operator<=>(const JobKey &) const = default;
};

} // namespace lavendertally::stages
