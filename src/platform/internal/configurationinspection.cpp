#include "platform/configurationinspection.h"

#include "configurationcheck/configurationcheck.h"
#include "platform/internal/configurationdecoder.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <utility>

namespace lavendertally::platform {

namespace {

using configurationcheck::Finding;
using configurationcheck::Severity;

/// \return the entry in which \p path lies, such as `routes[3]`
std::string entryOf(const std::string &path)
{
    return path.substr(0, path.find('.'));
}

std::set<std::string> pathsOf(const std::vector<Finding> &findings)
{
    std::set<std::string> paths;
    for (const Finding &finding : findings) {
        paths.insert(finding.path);
    }
    return paths;
}

/// Adds errors in what could be read. A member that could not be read has its default, so an error
/// in it would only repeat that.
void addErrors(const ConfigurationDecoder &decoder, std::vector<Finding> errors,
               std::vector<Finding> &findings)
{
    const std::set<std::string> unread = pathsOf(decoder.findings());
    std::copy_if(std::make_move_iterator(errors.begin()), std::make_move_iterator(errors.end()),
                 std::back_inserter(findings),
                 [&unread](const Finding &finding) { return !unread.contains(finding.path); });
}

/// Adds warnings, but for entries with errors, whose limits may be defaults, and for members that
/// were reported.
void addWarnings(std::vector<Finding> warnings, std::vector<Finding> &findings)
{
    const std::set<std::string> reported = pathsOf(findings);
    std::set<std::string> bad;
    for (const Finding &finding : findings) {
        if (finding.severity() == Severity::Error) {
            bad.insert(entryOf(finding.path));
        }
    }
    std::copy_if(std::make_move_iterator(warnings.begin()), std::make_move_iterator(warnings.end()),
                 std::back_inserter(findings), [&](const Finding &finding) {
                     return !bad.contains(entryOf(finding.path))
                         && !reported.contains(finding.path);
                 });
}

ConfigurationInspection inspect(std::string_view text,
                                const configurationcheck::CheckContext *context)
{
    ConfigurationDecoder decoder(text);
    ConfigurationInspection inspection;
    inspection.findings = decoder.findings();
    const bool isReadable = std::none_of(
        inspection.findings.begin(), inspection.findings.end(), [](const Finding &finding) {
            return finding.rule == configurationcheck::Rule::UnreadableFile;
        });
    if (isReadable) {
        addErrors(decoder, configurationcheck::findErrors(decoder.draft(), decoder.names()),
                  inspection.findings);
    }
    if (isReadable && context != nullptr) {
        addWarnings(configurationcheck::findWarnings(decoder.draft(), *context, decoder.names()),
                    inspection.findings);
    }
    inspection.names = std::make_shared<WireEntryNames>(decoder.names());
    inspection.draft = std::move(decoder.draft());
    return inspection;
}

} // namespace

bool ConfigurationInspection::hasErrors() const
{
    return std::any_of(findings.begin(), findings.end(), [](const Finding &finding) {
        return finding.severity() == Severity::Error;
    });
}

ConfigurationInspection inspectConfiguration(std::string_view text)
{
    return inspect(text, nullptr);
}

ConfigurationInspection inspectConfiguration(std::string_view text,
                                             const configurationcheck::CheckContext &context)
{
    return inspect(text, &context);
}

} // namespace lavendertally::platform
