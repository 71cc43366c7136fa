#include "operatortool/internal/checkreport.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <utility>

namespace lavendertally::operatortool {

namespace {

using configurationcheck::Effect;
using configurationcheck::Finding;
using configurationcheck::RuleGroup;
using configurationcheck::Severity;
using Json = nlohmann::json;

constexpr int Indentation = 2;

const char *severityWord(Severity severity)
{
    switch (severity) {
    case Severity::Error:
        return "error";
    case Severity::Warning:
        return "warning";
    case Severity::Difference:
        break;
    }
    return "difference";
}

const char *groupWord(RuleGroup group)
{
    switch (group) {
    case RuleGroup::Errors:
        return "errors";
    case RuleGroup::NeverMatches:
        return "never-matches";
    case RuleGroup::ContradictoryLimits:
        return "contradictory-limits";
    case RuleGroup::Differences:
        break;
    }
    return "differences";
}

const char *effectWord(Effect effect)
{
    switch (effect) {
    case Effect::AtOnce:
        return "at once";
    case Effect::Drains:
        return "drains";
    case Effect::None:
        break;
    }
    return "";
}

std::string place(const CheckEntry &entry)
{
    return entry.file + ":" + std::to_string(entry.position.line) + ":"
        + std::to_string(entry.position.column) + ": ";
}

/// \return \p text with a question mark for each control character, so that it fits in one line
std::string oneLine(std::string text)
{
    std::replace_if(
        text.begin(), text.end(),
        [](char character) { return std::iscntrl(static_cast<unsigned char>(character)) != 0; },
        '?');
    return text;
}

std::string counted(std::size_t count, const char *word)
{
    return std::to_string(count) + " " + word + (count == 1 ? "" : "s");
}

std::string summary(const std::vector<CheckEntry> &entries)
{
    const std::size_t errors = countOf(entries, Severity::Error);
    const std::size_t warnings = countOf(entries, Severity::Warning);
    const std::size_t differences = countOf(entries, Severity::Difference);
    std::string text = errors > 0 ? "invalid" : "valid";
    if (errors > 0) {
        text += ", " + counted(errors, "error");
    }
    if (warnings > 0) {
        text += ", " + counted(warnings, "warning");
    }
    if (differences > 0) {
        text += ", " + counted(differences, "difference");
    }
    return text + "\n";
}

} // namespace

std::size_t countOf(const std::vector<CheckEntry> &entries, Severity severity)
{
    return static_cast<std::size_t>(
        std::count_if(entries.begin(), entries.end(), [severity](const CheckEntry &entry) {
            return entry.finding.severity() == severity;
        }));
}

std::string checkText(const std::vector<CheckEntry> &entries)
{
    std::string text;
    for (const CheckEntry &entry : entries) {
        const Finding &finding = entry.finding;
        text += place(entry) + severityWord(finding.severity()) + ": "
            + oneLine((finding.path.empty() ? "" : finding.path + ": ") + finding.reason);
        if (finding.effect != Effect::None) {
            text += std::string(" (") + effectWord(finding.effect) + ")";
        }
        text += " [" + std::string(configurationcheck::ruleName(finding.rule)) + "]\n";
    }
    return text + summary(entries);
}

std::string checkJson(const std::vector<CheckEntry> &entries)
{
    Json findings = Json::array();
    for (const CheckEntry &entry : entries) {
        const Finding &finding = entry.finding;
        Json json = {{"file", entry.file},
                     {"line", entry.position.line},
                     {"column", entry.position.column},
                     {"severity", severityWord(finding.severity())},
                     {"group", groupWord(configurationcheck::groupOf(finding.rule))},
                     {"rule", configurationcheck::ruleName(finding.rule)},
                     {"path", finding.path},
                     {"reason", finding.reason}};
        if (finding.effect != Effect::None) {
            json["effect"] = effectWord(finding.effect);
        }
        findings.push_back(std::move(json));
    }
    const char *status = "valid";
    if (countOf(entries, Severity::Error) > 0) {
        status = "invalid";
    } else if (countOf(entries, Severity::Warning) > 0) {
        status = "warnings";
    }
    return Json{{"status", status}, {"findings", findings}}.dump(Indentation, ' ', false,
                                                                 Json::error_handler_t::replace)
        + "\n";
}

} // namespace lavendertally::operatortool
