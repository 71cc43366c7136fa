#pragma once

#include "framework/types/quantity.h"

namespace lavendertally::framework {

struct BytesTag;
struct TokenTag;
struct CostTag;
struct MicrosecondsTag;
struct MillicoresTag;
struct RequestRateTag;

using Bytes = Quantity<BytesTag>;
using TokenCount = Quantity<TokenTag>;
/// Money in millionths of the unit in which the operator states cost per hour.
using MicroCost = Quantity<CostTag>;

/// Service time too short for milliseconds; see Milliseconds for all other times.
using Microseconds = Quantity<MicrosecondsTag>;

/// Processor capacity in thousandths of a core.
using Millicores = Quantity<MillicoresTag>;

/// Requests per thousand seconds.
using RequestRate = Quantity<RequestRateTag>;

} // namespace lavendertally::framework
