#pragma once

namespace lavendertally::configuration {

/// Errors of parsers, codecs and replicas of the configuration module.
enum class ConfigurationError
{
    /// A file does not parse or does not validate; FileDiagnostics go with the error.
    InvalidFile,
    /// A control record or a snapshot does not decode, or the files in a snapshot do not validate.
    InvalidRecord,
    /// Records do not continue at the current revision.
    OffsetGap,
    /// Another operator changed the same file first; the rejected change is based on an older
    /// revision.
    Conflict,
};

} // namespace lavendertally::configuration
