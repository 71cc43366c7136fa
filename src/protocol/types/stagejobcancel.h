#pragma once

#include "framework/types/ids.h"

namespace lavendertally::protocol {

/// Cancels the StageJob of a request.
struct StageJobCancel
{
    framework::RequestId request;

    bool operator==(const StageJobCancel &) const = default;
};

} // namespace lavendertally::protocol
