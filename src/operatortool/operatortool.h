#pragma once

#include "framework/types/ids.h"
#include "operatortool/types/changeoutcome.h"
#include "operatortool/types/exitcode.h"
#include "operatortool/types/tooloptions.h"

#include <functional>
#include <iosfwd>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lavendertally::configuration {
struct OperatorChange;
}

namespace lavendertally::framework {
class IClock;
class IScheduler;
struct ErrorContext;
} // namespace lavendertally::framework

namespace lavendertally::operatortool {

class ChangeSubmission;
class FileCheck;
struct CheckEntry;
class IOperatorClient;

/// Carries out one command of the tool.
class OperatorTool
{
public:
    /// \param client, scheduler, clock, output, errors outlive this object
    /// \param operation id for a change that repeats no earlier one
    OperatorTool(IOperatorClient &client, framework::IScheduler &scheduler,
                 const framework::IClock &clock, framework::OperationId operation,
                 std::ostream &output, std::ostream &errors);
    ~OperatorTool();

    /// \param finished called once, possibly from within this function
    void run(const ToolOptions &options, std::function<void(ExitCode)> finished);

private:
    using Files = std::map<std::string, std::string>;

    void runFileCommand();
    void check(const Files &files);
    void compareWithFile();
    void compareWithActive();
    void finishCheck(const std::vector<CheckEntry> &entries);
    void apply(const Files &files);
    void applyAt(framework::LogOffset base, const Files &files);
    void setOut();
    void showStatus();
    void showDump();
    void submit(const configuration::OperatorChange &change);
    void finishChange(const ChangeOutcome &outcome);
    /// Ends a change that was not sent because of a missing answer.
    void finishUnsent(const framework::ErrorContext &context);
    /// Shows a document; \p text is its form for people.
    void finishDocument(const std::string &json, const std::string &text);
    void fail(ExitCode code, const framework::ErrorContext &context);
    framework::OperationId operation() const;

    IOperatorClient &m_client;
    framework::IScheduler &m_scheduler;
    const framework::IClock &m_clock;
    framework::OperationId m_newOperation;
    std::ostream &m_output;
    std::ostream &m_errors;
    ToolOptions m_options;
    /// Revision that the change of files is based on, once it is known.
    std::optional<framework::LogOffset> m_base;
    std::function<void(ExitCode)> m_finished;
    std::unique_ptr<ChangeSubmission> m_submission;
    std::unique_ptr<FileCheck> m_check;
};

} // namespace lavendertally::operatortool
