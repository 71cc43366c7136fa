#include "framework/frameworkmodule.h"
#include "framework/iclock.h"
#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "framework/types/errorcontext.h"
#include "http/httpmodule.h"
#include "http/ihttpclient.h"
#include "operatortool/commandline.h"
#include "operatortool/ioperatorclient.h"
#include "operatortool/operatortool.h"
#include "operatortool/operatortoolmodule.h"

#include <iostream>
#include <string>
#include <vector>

using namespace lavendertally;
using namespace lavendertally::operatortool;

namespace {

ExitCode runCommand(const ToolOptions &options)
{
    const auto clock = framework::FrameworkModule::makeSystemClock();
    const auto loop = framework::FrameworkModule::makeEventLoop();
    const auto http = http::HttpModule::makeClient(*loop);
    const auto client = OperatorToolModule::makeClient(*http, options.entry);
    OperatorTool tool(*client, *loop, *clock, OperatorToolModule::makeOperationId(), std::cout,
                      std::cerr);
    ExitCode code = ExitCode::Unavailable;
    // The tool may finish before the loop runs, so it is started from the loop.
    const auto start = loop->callAfter(framework::Milliseconds(0), [&] {
        tool.run(options, [&](ExitCode result) {
            code = result;
            loop->stop();
        });
    });
    loop->run();
    return code;
}

ExitCode runOptions(const ToolOptions &options)
{
    if (options.command == ToolCommand::Help) {
        std::cout << helpText();
        return ExitCode::Success;
    }
    if (options.command == ToolCommand::Version) {
        std::cout << "lavendertallyctl " << LAVENDERTALLY_VERSION << '\n';
        return ExitCode::Success;
    }
    return runCommand(options);
}

ExitCode reportUsage(const std::string &message)
{
    std::cerr << "lavendertallyctl: " << message << "\nTry 'lavendertallyctl --help'.\n";
    return ExitCode::Usage;
}

} // namespace

/// Command-line tool of the operators.
int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const ExitCode code = framework::leaf::try_handle_all(
        [&]() -> framework::Result<ExitCode> {
            BOOST_LEAF_AUTO(options, parseCommandLine(arguments));
            return runOptions(options);
        },
        [](const framework::ErrorContext &context) { return reportUsage(context.message); },
        [] { return reportUsage("wrong command line"); });
    return static_cast<int>(code);
}
