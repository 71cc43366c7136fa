#pragma once

#include "configurationcheck/types/entryfield.h"
#include "configurationcheck/types/entrysection.h"

#include <cstddef>
#include <optional>

namespace lavendertally::configurationcheck {

/// Where an entry stands, without the names of any file format: stage 1 of route 3 is
/// `{Routes, 3, Stages, 1}`, its service `{Routes, 3, Stages, 1, Service}`.
struct EntryPath
{
    EntrySection section = EntrySection::Routes;
    /// Position in its section; none for sections that are no lists.
    std::optional<std::size_t> index;
    EntryField field = EntryField::None;
    /// Position within the field, if that is a list.
    std::optional<std::size_t> item;
    EntryField itemField = EntryField::None;
};

} // namespace lavendertally::configurationcheck
