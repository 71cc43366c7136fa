#pragma once

namespace lavendertally::configurationcheck {

/// Part of a configuration in which an entry stands.
enum class EntrySection
{
    Version,
    Routes,
    Services,
    Limits,
    Teams,
};

} // namespace lavendertally::configurationcheck
