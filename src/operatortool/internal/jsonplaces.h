#pragma once

#include "operatortool/types/textposition.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lavendertally::operatortool {

/// Finds the entries of a JSON text by their paths, such as `routes[3].stages[1].service`. The text
/// is scanned once, in time linear in its size.
class JsonPlaces
{
public:
    /// \param text JSON; of other text the places up to the first fault are found
    explicit JsonPlaces(std::string_view text);

    /// \return the place of the member's name or of the list's item; if there is no such entry,
    /// that of the nearest one that contains it
    TextPosition find(const std::string &path) const;

    /// \return the place of a byte
    TextPosition at(std::size_t offset) const;

    /// \return the place where the text stops being a JSON object
    TextPosition parseError() const;

    /// \return paths of members whose names stand twice in one object; of such the last one counts
    const std::vector<std::string> &duplicates() const { return m_duplicates; }

private:
    friend class JsonPlaceScan;

    std::string_view m_text;
    std::vector<std::size_t> m_lineStarts;
    std::unordered_map<std::string, std::size_t> m_offsets;
    std::vector<std::string> m_duplicates;
};

} // namespace lavendertally::operatortool
