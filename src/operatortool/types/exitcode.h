#pragma once

namespace lavendertally::operatortool {

/// Exit status of the command-line tool, with the meanings of sysexits.h, which leaves the
/// numbers below 64 to the program.
enum class ExitCode
{
    Success = 0,
    /// A check found warnings but no errors.
    Warnings = 2,
    /// The command line is wrong.
    Usage = 64,
    /// A file is invalid, or the change is void.
    BadData = 65,
    /// Not applied because a service does not answer, or the outcome is unknown.
    Unavailable = 69,
};

} // namespace lavendertally::operatortool
