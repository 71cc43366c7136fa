#pragma once

#include "configuration/configurationmodule.h"
#include "configuration/iconfigurationparser.h"
#include "configuration/isettingsparser.h"
#include "configuration/types/filediagnostics.h"

#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <string>

namespace lavendertally::configuration {

/// \return the diagnostics that \p parse fails with; empty when it succeeds
template <typename Parse>
FileDiagnostics diagnosticsOf(Parse parse)
{
    return framework::leaf::try_handle_all(
        [&]() -> framework::Result<FileDiagnostics> {
            BOOST_LEAF_CHECK(parse());
            return FileDiagnostics{};
        },
        [](const FileDiagnostics &found) { return found; },
        [] {
            return FileDiagnostics{{{"", 0, 0, "", "an error without diagnostics"}}};
        });
}

/// \return contents of the files of a sample configuration by file name
inline std::map<std::string, std::string> sampleFiles(const std::string &sample)
{
    std::map<std::string, std::string> files;
    const std::filesystem::path folder(std::string(LAVENDERTALLY_SOURCE_DIR) + "/samples/"
                                       + sample);
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        std::stringstream text;
        text << std::ifstream(entry.path()).rdbuf();
        files[entry.path().filename().string()] = text.str();
    }
    return files;
}

} // namespace lavendertally::configuration
