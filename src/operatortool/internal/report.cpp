#include "operatortool/internal/report.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <sstream>

namespace lavendertally::operatortool {

namespace {

using Json = nlohmann::json;

constexpr int Indentation = 2;
constexpr int DaemonWidth = 24;
constexpr int RoleWidth = 8;
constexpr int ZoneWidth = 20;
constexpr int RevisionWidth = 12;

std::string statusWord(ChangeStatus status)
{
    switch (status) {
    case ChangeStatus::Applied:
        return "applied";
    case ChangeStatus::Void:
        return "void";
    case ChangeStatus::Refused:
        return "refused";
    case ChangeStatus::NotApplied:
        return "not_applied";
    case ChangeStatus::Unknown:
        break;
    }
    return "unknown";
}

std::string joined(const Json &names)
{
    std::string text;
    for (const Json &name : names) {
        text += (text.empty() ? "" : " ") + name.get<std::string>();
    }
    return text.empty() ? "none" : text;
}

void writeRow(std::ostream &out, const std::string &daemon, const std::string &role,
              const std::string &zone, const std::string &revision, const std::string &age)
{
    out << std::left << std::setw(DaemonWidth) << daemon << ' ' << std::setw(RoleWidth) << role
        << ' ' << std::setw(ZoneWidth) << zone << ' ' << std::right << std::setw(RevisionWidth)
        << revision << ' ' << age << '\n';
}

std::string statusTable(const Json &status)
{
    std::ostringstream out;
    out << "revision   " << status.at("revision") << "\nzones      " << joined(status.at("zones"))
        << "\nzones out  " << joined(status.at("zones_out")) << "\nhosts out  "
        << joined(status.at("hosts_out")) << "\n\n";
    writeRow(out, "DAEMON", "ROLE", "AVAILABILITY ZONE", "REVISION", "AGE");
    for (const Json &daemon : status.at("daemons")) {
        writeRow(out, daemon.at("daemon").get<std::string>(), daemon.at("role").get<std::string>(),
                 daemon.at("availability_zone").get<std::string>(), daemon.at("revision").dump(),
                 daemon.at("age_ms").dump() + "ms");
    }
    return out.str();
}

} // namespace

std::string outcomeText(const ChangeOutcome &outcome, const SubmittedChange &change)
{
    std::string text;
    for (const configuration::FileDiagnostic &diagnostic : outcome.diagnostics.entries) {
        text += diagnostic.toString() + "\n";
    }
    const std::string &operation = change.operation.value();
    switch (outcome.status) {
    case ChangeStatus::Applied:
        return text + "applied at offset " + std::to_string(outcome.offset.value()) + " (operation "
            + operation + ")\n";
    case ChangeStatus::Void:
        return text + "void, nothing has changed: " + outcome.explanation + "\n";
    case ChangeStatus::Refused:
        return text + "refused, nothing has changed: " + outcome.explanation + "\n";
    case ChangeStatus::NotApplied:
        return text + "not applied: " + outcome.explanation + "\n";
    case ChangeStatus::Unknown:
        break;
    }
    const std::string base =
        change.base ? " --base " + std::to_string(change.base->value()) : std::string();
    return text + "unknown, it may have been applied: " + outcome.explanation
        + "\nask again by repeating the command with --operation " + operation + base + "\n";
}

std::string outcomeJson(const ChangeOutcome &outcome, const SubmittedChange &change)
{
    Json json = {{"status", statusWord(outcome.status)},
                 {"operation", change.operation.value()},
                 {"base", change.base ? Json(change.base->value()) : Json()},
                 {"offset", outcome.offset.value()},
                 {"explanation", outcome.explanation},
                 {"diagnostics", Json::array()}};
    for (const configuration::FileDiagnostic &diagnostic : outcome.diagnostics.entries) {
        json["diagnostics"].push_back({{"file", diagnostic.file},
                                       {"line", diagnostic.line},
                                       {"column", diagnostic.column},
                                       {"key", diagnostic.key},
                                       {"expected", diagnostic.expected}});
    }
    return json.dump(Indentation, ' ', false, Json::error_handler_t::replace) + "\n";
}

std::string statusText(const std::string &status)
{
    try {
        return statusTable(Json::parse(status));
    } catch (const Json::exception &) {
        return status;
    }
}

std::string indentedJson(const std::string &json)
{
    return Json::parse(json).dump(Indentation) + "\n";
}

} // namespace lavendertally::operatortool
