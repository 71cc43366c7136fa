#pragma once

#include "configurationcheck/types/effect.h"
#include "configurationcheck/types/rule.h"

#include <string>

namespace lavendertally::configurationcheck {

/// One thing that a check found.
struct Finding
{
    Rule rule = Rule::UnreadableFile;
    /// Path of the entry, such as `routes[3].stages[1].service`; empty for the file as a whole.
    std::string path;
    /// One line; never contains an API key.
    std::string reason;
    Effect effect = Effect::None;

    bool operator==(const Finding &) const = default;

    Severity severity() const { return severityOf(rule); }
};

} // namespace lavendertally::configurationcheck
