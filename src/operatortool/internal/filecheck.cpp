#include "operatortool/internal/filecheck.h"

#include "budget/budgetmodule.h"
#include "configuration/configurationmodule.h"
#include "configuration/iconfigurationparser.h"
#include "configuration/types/daemonsettings.h"
#include "configuration/types/filediagnostics.h"
#include "configurationcheck/configurationcheck.h"
#include "configurationcheck/types/comparedconfiguration.h"
#include "operatortool/internal/jsonplaces.h"
#include "platform/configurationinspection.h"
#include "retry/types/retrylimits.h"

#include <algorithm>
#include <tuple>

namespace lavendertally::operatortool {

namespace {

using configurationcheck::Finding;
using configurationcheck::Rule;

configurationcheck::CheckContext contextFor(std::uint32_t gateways)
{
    const retry::RetryLimits retries;
    const configuration::DaemonSettings defaults;
    const budget::ProcessParts parts =
        budget::BudgetModule::divide(defaults.memoryLimit, defaults.descriptorLimit);
    return {gateways, parts.clients.memory, retries.maxAttempts, retries.minBackoff};
}

} // namespace

FileCheck::FileCheck(std::uint32_t gateways) : m_context(contextFor(gateways)) { }

bool FileCheck::isJson(const std::string &file, std::string_view text)
{
    if (file.ends_with(".json")) {
        return true;
    }
    if (file.ends_with(".yaml") || file.ends_with(".yml")) {
        return false;
    }
    const std::size_t first = text.find_first_not_of(" \t\r\n");
    return first != std::string_view::npos && text[first] == '{';
}

void FileCheck::check(const std::map<std::string, std::string> &files)
{
    std::map<std::string, std::string> yaml;
    for (const auto &[file, text] : files) {
        if (isJson(file, text)) {
            checkJson(file, text);
        } else {
            yaml.emplace(file, text);
        }
    }
    if (!yaml.empty()) {
        checkYaml(yaml);
    }
}

void FileCheck::checkYaml(const std::map<std::string, std::string> &files)
{
    const auto parser = configuration::ConfigurationModule::makeParser();
    framework::leaf::try_handle_all(
        [&]() -> framework::Result<void> {
            BOOST_LEAF_CHECK(parser->parse(files));
            return {};
        },
        [&](const configuration::FileDiagnostics &diagnostics) {
            for (const configuration::FileDiagnostic &each : diagnostics.entries) {
                m_entries.push_back(
                    {each.file,
                     {each.line, each.column},
                     {Rule::InvalidEntry, each.key, "expected " + each.expected, {}}});
            }
        },
        [&] {
            m_entries.push_back({files.begin()->first,
                                 {},
                                 {Rule::UnreadableFile, "", "the files are invalid", {}}});
        });
}

void FileCheck::checkJson(const std::string &file, const std::string &text)
{
    const JsonPlaces places(text);
    const platform::ConfigurationInspection inspection =
        platform::inspectConfiguration(text, m_context);
    add(file, places, inspection.findings);
    for (const std::string &path : places.duplicates()) {
        m_entries.push_back({file,
                             places.find(path),
                             {Rule::DuplicateMember,
                              path,
                              "stands twice in one object; only the last one counts",
                              {}}});
    }
    m_checked.push_back({file, text, !inspection.hasErrors()});
}

void FileCheck::add(const std::string &file, const JsonPlaces &places,
                    const std::vector<Finding> &findings)
{
    for (const Finding &finding : findings) {
        const TextPosition place =
            finding.rule == Rule::UnreadableFile ? places.parseError() : places.find(finding.path);
        m_entries.push_back({file, place, finding});
    }
}

configurationcheck::ComparedConfiguration FileCheck::comparable() const
{
    return configurationcheck::compared(
        platform::inspectConfiguration(m_checked.front().text).draft);
}

void FileCheck::compareWith(const configurationcheck::ComparedConfiguration &before)
{
    const CheckedFile &checked = m_checked.front();
    const platform::ConfigurationInspection inspection =
        platform::inspectConfiguration(checked.text);
    add(checked.file, JsonPlaces(checked.text),
        configurationcheck::findDifferences(before, configurationcheck::compared(inspection.draft),
                                            *inspection.names));
}

std::vector<CheckEntry> FileCheck::entries() const
{
    std::vector<CheckEntry> sorted = m_entries;
    std::stable_sort(sorted.begin(), sorted.end(), [](const CheckEntry &a, const CheckEntry &b) {
        return std::tie(a.file, a.position.line, a.position.column)
            < std::tie(b.file, b.position.line, b.position.column);
    });
    return sorted;
}

} // namespace lavendertally::operatortool
