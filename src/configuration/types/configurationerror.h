#pragma once

namespace lavendertally::configuration {

enum class ConfigurationError
{
    /// A file does not parse or does not validate; see FileDiagnostic.
    InvalidFile,
    /// A record of the control stream does not decode; it is void for all.
    InvalidRecord,
    /// Records do not continue at the revision in force.
    OffsetGap,
    /// Another operator changed the same file first.
    Conflict,
};

} // namespace lavendertally::configuration
