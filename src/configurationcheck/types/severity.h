#pragma once

namespace lavendertally::configurationcheck {

/// How serious a finding is.
enum class Severity
{
    /// The daemon refuses the configuration.
    Error,
    /// The daemon takes the configuration, but the entry does not do what it seems to say.
    Warning,
    /// A difference from another configuration; neither good nor bad.
    Difference,
};

} // namespace lavendertally::configurationcheck
