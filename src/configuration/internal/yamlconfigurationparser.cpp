#include "configuration/internal/yamlconfigurationparser.h"

#include "configuration/internal/fragmentmerger.h"
#include "configuration/internal/fragmentparser.h"
#include "configuration/types/configurationerror.h"
#include "configuration/types/filediagnostics.h"

#include <utility>

namespace lavendertally::configuration {

namespace {

void append(FileDiagnostics &target, const FileDiagnostics &found)
{
    target.entries.insert(target.entries.end(), found.entries.begin(), found.entries.end());
}

/// \return the fragment, or null when errors were added to \p diagnostics
std::shared_ptr<const ConfigurationFragment>
parseOrReport(const std::string &file, const std::string &text, FileDiagnostics &diagnostics)
{
    using Fragment = std::shared_ptr<const ConfigurationFragment>;
    return framework::leaf::try_handle_all(
        [&] { return parseFragment(file, text); },
        [&](const FileDiagnostics &found) {
            append(diagnostics, found);
            return Fragment();
        },
        [&] {
            append(diagnostics, {{{file, 1, 1, "", "a file that can be read"}}});
            return Fragment();
        });
}

/// Parses each file and collects the diagnostics of all files before failing.
framework::Result<FragmentMap> parseFragments(const std::map<std::string, std::string> &files)
{
    FragmentMap fragments;
    FileDiagnostics diagnostics;
    for (const auto &[file, text] : files) {
        fragments[file] = parseOrReport(file, text, diagnostics);
    }
    if (!diagnostics.entries.empty()) {
        return framework::leaf::new_error(ConfigurationError::InvalidFile, std::move(diagnostics));
    }
    return fragments;
}

} // namespace

framework::Result<Configuration>
YamlConfigurationParser::parse(const std::map<std::string, std::string> &files) const
{
    BOOST_LEAF_AUTO(fragments, parseFragments(files));
    return mergeFragments(fragments);
}

framework::Result<void>
YamlConfigurationParser::checkEachFile(const std::map<std::string, std::string> &files) const
{
    BOOST_LEAF_CHECK(parseFragments(files));
    return {};
}

} // namespace lavendertally::configuration
