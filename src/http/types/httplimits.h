#pragma once

#include "framework/types/units.h"

namespace lavendertally::http {

/// Bounds on what a server accepts.
struct HttpLimits
{
    framework::Bytes maxBody{8 * 1024 * 1024};
    framework::Bytes maxHeaders{16 * 1024};
};

} // namespace lavendertally::http
