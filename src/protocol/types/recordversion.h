#pragma once

#include "framework/types/ids.h"

#include <compare>

namespace lavendertally::protocol {

/// Order of the records of one key by what their writer says, which holds whatever the order in
/// which the store took them: it may execute a write whose answer was lost seconds later.
struct RecordVersion
{
    /// Rises with each start of the writer.
    framework::Incarnation incarnation;
    /// Rises with each record of one incarnation.
    framework::ReportNumber number;

    auto operator<=>(const RecordVersion &) const = default;
};

} // namespace lavendertally::protocol
