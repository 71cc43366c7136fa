#pragma once

#include "configurationcheck/internal/findinglist.h"

#include <cstdint>
#include <string>

namespace lavendertally::configurationcheck {

/// Reports a limit that is lower or higher than before.
inline void compareLimit(std::int64_t before, std::int64_t after, const std::string &what,
                         const EntryPath &path, Effect effect, FindingList &findings)
{
    if (before == after) {
        return;
    }
    findings.add(after < before ? Rule::LimitTightened : Rule::LimitLoosened, path,
                 what + " is " + std::to_string(after) + " instead of " + std::to_string(before),
                 effect);
}

} // namespace lavendertally::configurationcheck
