#pragma once

namespace lavendertally::operatortool {

/// What the operator asks the tool to do.
enum class ToolCommand
{
    Help,
    Version,
    Apply,
    Check,
    SetZone,
    SetHost,
    Status,
    Dump,
};

} // namespace lavendertally::operatortool
