#pragma once

#include "configurationcheck/ientrynames.h"

#include <string>

namespace lavendertally::configurationcheck {

/// Names entries by the numbers of their sections and fields.
class PlainNames final : public IEntryNames
{
public:
    std::string pathOf(const EntryPath &path) const override
    {
        std::string text = std::to_string(static_cast<int>(path.section));
        text += path.index ? "/" + std::to_string(*path.index) : "";
        text += "." + std::to_string(static_cast<int>(path.field));
        text += path.item ? "/" + std::to_string(*path.item) : "";
        return text + "." + std::to_string(static_cast<int>(path.itemField));
    }
};

} // namespace lavendertally::configurationcheck
