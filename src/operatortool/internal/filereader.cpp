#include "operatortool/internal/filereader.h"

#include "framework/types/errorcontext.h"
#include "operatortool/types/toolerror.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace lavendertally::operatortool {

namespace {

framework::Result<std::string> readFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    std::stringstream text;
    text << stream.rdbuf();
    if (!stream || std::filesystem::is_directory(path)) {
        return framework::leaf::new_error(ToolError::UnreadableFile,
                                          framework::ErrorContext{"cannot read " + path});
    }
    return text.str();
}

} // namespace

framework::Result<std::map<std::string, std::string>>
readFiles(const std::vector<std::string> &paths)
{
    std::map<std::string, std::string> files;
    for (const std::string &path : paths) {
        BOOST_LEAF_AUTO(text, readFile(path));
        const std::string name = std::filesystem::path(path).filename().string();
        if (!files.emplace(name, text).second) {
            return framework::leaf::new_error(
                ToolError::Usage, framework::ErrorContext{"two files are named " + name});
        }
    }
    return files;
}

} // namespace lavendertally::operatortool
