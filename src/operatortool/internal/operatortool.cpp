#include "operatortool/operatortool.h"

#include "configuration/configurationmodule.h"
#include "configuration/iconfigurationparser.h"
#include "configuration/types/operatorchange.h"
#include "configurationcheck/types/comparedconfiguration.h"
#include "framework/types/errorcontext.h"
#include "operatortool/internal/changesubmission.h"
#include "operatortool/internal/checkreport.h"
#include "operatortool/internal/filecheck.h"
#include "operatortool/internal/filereader.h"
#include "operatortool/internal/report.h"
#include "operatortool/ioperatorclient.h"
#include "operatortool/types/toolerror.h"
#include "platform/activeconfigurationcodec.h"

#include <optional>
#include <ostream>
#include <utility>

namespace lavendertally::operatortool {

namespace {

ExitCode exitCodeOf(ChangeStatus status)
{
    switch (status) {
    case ChangeStatus::Applied:
        return ExitCode::Success;
    case ChangeStatus::Void:
    case ChangeStatus::Refused:
        return ExitCode::BadData;
    case ChangeStatus::NotApplied:
    case ChangeStatus::Unknown:
        break;
    }
    return ExitCode::Unavailable;
}

ExitCode exitCodeOf(ToolError error)
{
    switch (error) {
    case ToolError::Usage:
        return ExitCode::Usage;
    case ToolError::UnreadableFile:
        return ExitCode::BadData;
    case ToolError::Unavailable:
        break;
    }
    return ExitCode::Unavailable;
}

/// \return why files are refused, or nothing when \p validate finds them valid
template <typename Validate>
std::optional<ChangeOutcome> refusal(Validate validate)
{
    ChangeOutcome outcome;
    outcome.status = ChangeStatus::Refused;
    outcome.explanation = "the files are invalid";
    return framework::leaf::try_handle_all(
        [&]() -> framework::Result<std::optional<ChangeOutcome>> {
            BOOST_LEAF_CHECK(validate());
            return std::optional<ChangeOutcome>();
        },
        [&](const configuration::FileDiagnostics &diagnostics) {
            outcome.diagnostics = diagnostics;
            return std::optional(outcome);
        },
        [&] { return std::optional(outcome); });
}

} // namespace

OperatorTool::OperatorTool(IOperatorClient &client, framework::IScheduler &scheduler,
                           const framework::IClock &clock, framework::OperationId operation,
                           std::ostream &output, std::ostream &errors)
    : m_client(client), m_scheduler(scheduler), m_clock(clock),
      m_newOperation(std::move(operation)), m_output(output), m_errors(errors)
{ }

OperatorTool::~OperatorTool() = default;

void OperatorTool::run(const ToolOptions &options, std::function<void(ExitCode)> finished)
{
    m_options = options;
    m_finished = std::move(finished);
    switch (options.command) {
    case ToolCommand::Apply:
    case ToolCommand::Check:
        runFileCommand();
        break;
    case ToolCommand::SetZone:
    case ToolCommand::SetHost:
        setOut();
        break;
    case ToolCommand::Status:
        showStatus();
        break;
    case ToolCommand::Dump:
        showDump();
        break;
    case ToolCommand::Help:
    case ToolCommand::Version:
        m_finished(ExitCode::Success);
    }
}

void OperatorTool::runFileCommand()
{
    framework::leaf::try_handle_all(
        [&]() -> framework::Result<void> {
            BOOST_LEAF_AUTO(files, readFiles(m_options.paths));
            m_options.command == ToolCommand::Check ? check(files) : apply(files);
            return {};
        },
        [&](ToolError error, const framework::ErrorContext &context) {
            fail(exitCodeOf(error), context);
        },
        [&] { fail(ExitCode::BadData, {"cannot read the files"}); });
}

void OperatorTool::check(const Files &files)
{
    m_check = std::make_unique<FileCheck>(m_options.gateways);
    m_check->check(files);
    const bool compares = m_options.against || m_options.againstActive;
    if (compares && m_check->jsonFiles() != 1) {
        fail(ExitCode::Usage, {"differences are shown for exactly one JSON file"});
    } else if (compares && m_check->isComparable()) {
        m_options.againstActive ? compareWithActive() : compareWithFile();
    } else {
        finishCheck(m_check->entries());
    }
}

void OperatorTool::compareWithFile()
{
    framework::leaf::try_handle_all(
        [&]() -> framework::Result<void> {
            BOOST_LEAF_AUTO(files, readFiles({*m_options.against}));
            FileCheck before(m_options.gateways);
            before.check(files);
            if (!before.isComparable()) {
                finishCheck(before.entries());
                return {};
            }
            m_check->compareWith(before.comparable());
            finishCheck(m_check->entries());
            return {};
        },
        [&](ToolError error, const framework::ErrorContext &context) {
            fail(exitCodeOf(error), context);
        },
        [&] { fail(ExitCode::BadData, {"cannot read " + *m_options.against}); });
}

void OperatorTool::compareWithActive()
{
    m_client.readConfiguration(
        m_options.entry, m_options.timeLimit, [this](framework::Result<std::string> text) {
            framework::leaf::try_handle_all(
                [&]() -> framework::Result<void> {
                    BOOST_LEAF_AUTO(json, std::move(text));
                    BOOST_LEAF_AUTO(before, platform::decodeActiveConfiguration(json));
                    m_check->compareWith(before);
                    finishCheck(m_check->entries());
                    return {};
                },
                [&](const framework::ErrorContext &context) {
                    fail(ExitCode::Unavailable, context);
                },
                [&] { fail(ExitCode::Unavailable, {"the gateway does not answer"}); });
        });
}

void OperatorTool::finishCheck(const std::vector<CheckEntry> &entries)
{
    m_output << (m_options.json ? checkJson(entries) : checkText(entries));
    if (countOf(entries, configurationcheck::Severity::Error) > 0) {
        m_finished(ExitCode::BadData);
        return;
    }
    const bool hasWarnings = countOf(entries, configurationcheck::Severity::Warning) > 0;
    m_finished(hasWarnings ? ExitCode::Warnings : ExitCode::Success);
}

void OperatorTool::apply(const Files &files)
{
    const auto parser = configuration::ConfigurationModule::makeParser();
    if (const auto refused = refusal([&] { return parser->checkEachFile(files); })) {
        finishChange(*refused);
        return;
    }
    if (m_options.base) {
        applyAt(*m_options.base, files);
        return;
    }
    m_client.readRevision(
        m_options.timeLimit, [this, files](framework::Result<framework::LogOffset> revision) {
            framework::leaf::try_handle_all(
                [&]() -> framework::Result<void> {
                    BOOST_LEAF_AUTO(base, std::move(revision));
                    applyAt(base, files);
                    return {};
                },
                [&](const framework::ErrorContext &context) { finishUnsent(context); },
                [&] { finishUnsent({"the entry does not answer"}); });
        });
}

void OperatorTool::applyAt(framework::LogOffset base, const Files &files)
{
    m_base = base;
    configuration::ApplyFiles change;
    change.base = base;
    change.files.insert(files.begin(), files.end());
    for (const std::string &name : m_options.removals) {
        change.files.emplace(name, std::nullopt);
    }
    submit({operation(), change});
}

void OperatorTool::setOut()
{
    configuration::OperatorChange change;
    change.operation = operation();
    if (m_options.command == ToolCommand::SetZone) {
        change.change = configuration::SetZoneOutOfService{
            framework::AvailabilityZoneId(m_options.target), m_options.out};
    } else {
        change.change =
            configuration::SetHostOutOfService{framework::HostId(m_options.target), m_options.out};
    }
    submit(change);
}

void OperatorTool::submit(const configuration::OperatorChange &change)
{
    m_submission = std::make_unique<ChangeSubmission>(m_client, m_scheduler, m_clock, change,
                                                      m_options.timeLimit);
    if (m_options.operation) {
        m_submission->assumeMayBePublished();
    }
    m_submission->start([this](const ChangeOutcome &outcome) { finishChange(outcome); });
}

void OperatorTool::finishUnsent(const framework::ErrorContext &context)
{
    ChangeOutcome outcome;
    // An earlier run under the same operation may have published it.
    outcome.status = m_options.operation ? ChangeStatus::Unknown : ChangeStatus::NotApplied;
    outcome.explanation = context.message;
    finishChange(outcome);
}

void OperatorTool::finishChange(const ChangeOutcome &outcome)
{
    const SubmittedChange change{operation(), m_base};
    if (m_options.json) {
        m_output << outcomeJson(outcome, change);
    } else {
        std::ostream &stream = outcome.status == ChangeStatus::Applied ? m_output : m_errors;
        stream << outcomeText(outcome, change);
    }
    m_finished(exitCodeOf(outcome.status));
}

void OperatorTool::showStatus()
{
    m_client.readStatus(m_options.timeLimit, [this](framework::Result<std::string> status) {
        framework::leaf::try_handle_all(
            [&]() -> framework::Result<void> {
                BOOST_LEAF_AUTO(json, std::move(status));
                finishDocument(indentedJson(json), statusText(json));
                return {};
            },
            [&](const framework::ErrorContext &context) { fail(ExitCode::Unavailable, context); },
            [&] { fail(ExitCode::Unavailable, {"the entry does not answer"}); });
    });
}

void OperatorTool::showDump()
{
    m_client.readDump(m_options.dumpEndpoint, m_options.timeLimit,
                      [this](framework::Result<std::string> dump) {
                          framework::leaf::try_handle_all(
                              [&]() -> framework::Result<void> {
                                  BOOST_LEAF_AUTO(json, std::move(dump));
                                  finishDocument(indentedJson(json), indentedJson(json));
                                  return {};
                              },
                              [&](const framework::ErrorContext &context) {
                                  fail(ExitCode::Unavailable, context);
                              },
                              [&] { fail(ExitCode::Unavailable, {"the daemon does not answer"}); });
                      });
}

void OperatorTool::finishDocument(const std::string &json, const std::string &text)
{
    m_output << (m_options.json ? json : text);
    m_finished(ExitCode::Success);
}

void OperatorTool::fail(ExitCode code, const framework::ErrorContext &context)
{
    m_errors << "lavendertallyctl: " << context.message << '\n';
    m_finished(code);
}

framework::OperationId OperatorTool::operation() const
{
    return m_options.operation.value_or(m_newOperation);
}

} // namespace lavendertally::operatortool
