#pragma once

#include "framework/types/ids.h"

#include <string>

namespace lavendertally::standins {

/// Order that a model engine has applied.
struct AppliedOrder
{
    framework::FencingNumber fencing;
    std::string order;
    std::string argument;
};

} // namespace lavendertally::standins
