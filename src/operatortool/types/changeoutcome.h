#pragma once

#include "configuration/types/filediagnostics.h"
#include "framework/types/ids.h"
#include "operatortool/types/changestatus.h"

#include <string>

namespace lavendertally::operatortool {

/// Outcome of a change.
struct ChangeOutcome
{
    ChangeStatus status = ChangeStatus::Unknown;
    /// Offset of the record that decided; only when applied or void.
    framework::LogOffset offset;
    /// Why it is not applied, for people.
    std::string explanation;
    configuration::FileDiagnostics diagnostics;
};

} // namespace lavendertally::operatortool
