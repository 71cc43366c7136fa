#pragma once

namespace lavendertally::operatortool {

enum class ToolError
{
    /// The command line is wrong; an ErrorContext says how.
    Usage,
    /// A file cannot be read; an ErrorContext names it.
    UnreadableFile,
    /// A daemon does not answer as it should; an ErrorContext says how.
    Unavailable,
};

} // namespace lavendertally::operatortool
