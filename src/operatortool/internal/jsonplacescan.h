#pragma once

#include "operatortool/internal/jsonplaces.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace lavendertally::operatortool {

/// One pass over a JSON text that notes where its entries stand. Keeps its own stack, so that
/// deeply nested text cannot exhaust that of the process.
class JsonPlaceScan
{
public:
    /// \param places filled by run()
    JsonPlaceScan(std::string_view text, JsonPlaces &places);

    void run();

private:
    /// An object or list that is open.
    struct Level
    {
        std::string path;
        bool isList = false;
        std::size_t nextItem = 0;
        bool expectsName = false;
        std::unordered_set<std::string_view> names;
        /// Path of the member whose value comes next.
        std::string member;
    };

    void step(char character);
    void open(bool isList);
    void close();
    void readText();
    void readName(std::string_view name, std::size_t offset);
    void skipLiteral();
    /// \return the path of the value that begins here
    std::string beginValue();

    std::string_view m_text;
    JsonPlaces &m_places;
    std::size_t m_offset = 0;
    std::vector<Level> m_levels;
};

} // namespace lavendertally::operatortool
