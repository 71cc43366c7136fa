#pragma once

#include "framework/types/milliseconds.h"
#include "http/types/httpend.h"

#include <cstddef>
#include <string>

namespace lavendertally::localfleet {

/// What came back for one request of a load.
struct LoadAnswer
{
    /// Index into the load's workloads.
    std::size_t workload = 0;
    std::string requestId;
    http::HttpEnd end = http::HttpEnd::NotSent;
    int status = 0;
    /// Body as the entry sent it.
    std::string body;
    /// Time from sending to the end of the response.
    framework::Milliseconds elapsed;
};

} // namespace lavendertally::localfleet
