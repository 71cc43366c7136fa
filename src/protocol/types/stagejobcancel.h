#pragma once

#include "framework/types/ids.h"

namespace lavendertally::protocol {

/// The request of a StageJob is not wanted any more.
struct StageJobCancel
{
    framework::RequestId request;

    bool operator==(const StageJobCancel &) const = default;
};

} // namespace lavendertally::protocol
