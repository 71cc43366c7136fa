#include "operatortool/commandline.h"

#include "configuration/valueparsing.h"
#include "framework/types/errorcontext.h"
#include "operatortool/types/toolerror.h"

#include <getopt.h>

#include <charconv>
#include <cstdint>
#include <utility>

namespace lavendertally::operatortool {

namespace {

constexpr std::uint16_t MinimumPort = 1;

/// Options without a letter.
enum LongOnlyOption
{
    OutputOption = 256,
    AgainstOption,
    AgainstActiveOption,
    GatewaysOption,
};

constexpr option LongOptions[] = {
    {"help", no_argument, nullptr, 'h'},
    {"version", no_argument, nullptr, 'V'},
    {"json", no_argument, nullptr, 'j'},
    {"entry", required_argument, nullptr, 'e'},
    {"timeout", required_argument, nullptr, 't'},
    {"operation", required_argument, nullptr, 'o'},
    {"base", required_argument, nullptr, 'b'},
    {"remove", required_argument, nullptr, 'r'},
    {"output", required_argument, nullptr, OutputOption},
    {"against", required_argument, nullptr, AgainstOption},
    {"against-active", no_argument, nullptr, AgainstActiveOption},
    {"gateways", required_argument, nullptr, GatewaysOption},
    {nullptr, 0, nullptr, 0},
};

framework::leaf::error_id usageError(const std::string &message)
{
    return framework::leaf::new_error(ToolError::Usage, framework::ErrorContext{message});
}

framework::Result<framework::Endpoint> readEndpoint(const std::string &text)
{
    const auto endpoint = configuration::parseEndpoint(text, MinimumPort);
    if (!endpoint) {
        return usageError("'" + text + "' is not an address and port such as 127.0.0.1:8080");
    }
    return *endpoint;
}

framework::Result<std::string> readName(const std::string &text)
{
    if (!configuration::isValidName(text)) {
        return usageError("'" + text + "' is not a valid name");
    }
    return text;
}

framework::Result<framework::LogOffset> readRevision(const std::string &text)
{
    std::uint64_t value = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || rest != end) {
        return usageError("'" + text + "' is not a revision");
    }
    return framework::LogOffset(value);
}

framework::Result<framework::Milliseconds> readTimeLimit(const std::string &text)
{
    const auto duration = configuration::parseDuration(text);
    if (!duration) {
        return usageError("'" + text + "' is not a duration such as 10s");
    }
    return *duration;
}

framework::Result<bool> readOutput(const std::string &text)
{
    if (text != "json" && text != "text") {
        return usageError("'" + text + "' is not an output; expected: text or json");
    }
    return text == "json";
}

framework::Result<std::uint32_t> readGateways(const std::string &text)
{
    std::uint32_t value = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || rest != end || value == 0) {
        return usageError("'" + text + "' is not a number of gateways");
    }
    return value;
}

framework::Result<void> readOption(int option, const std::string &value, ToolOptions &options)
{
    switch (option) {
    case 'h':
        options.command = ToolCommand::Help;
        break;
    case 'V':
        options.command = ToolCommand::Version;
        break;
    case 'j':
        options.json = true;
        break;
    case 'e': {
        BOOST_LEAF_ASSIGN(options.entry, readEndpoint(value));
        break;
    }
    case 't': {
        BOOST_LEAF_ASSIGN(options.timeLimit, readTimeLimit(value));
        break;
    }
    case 'o': {
        BOOST_LEAF_AUTO(name, readName(value));
        options.operation = framework::OperationId(name);
        break;
    }
    case 'b': {
        BOOST_LEAF_ASSIGN(options.base, readRevision(value));
        break;
    }
    case OutputOption: {
        BOOST_LEAF_ASSIGN(options.json, readOutput(value));
        break;
    }
    case AgainstOption:
        options.against = value;
        break;
    case AgainstActiveOption:
        options.againstActive = true;
        break;
    case GatewaysOption: {
        BOOST_LEAF_ASSIGN(options.gateways, readGateways(value));
        break;
    }
    default: {
        BOOST_LEAF_AUTO(name, readName(value));
        options.removals.push_back(name);
    }
    }
    return {};
}

framework::Result<void> readFileCommand(const std::vector<std::string> &words, ToolOptions &options)
{
    const bool isApply = words[0] == "apply";
    options.command = isApply ? ToolCommand::Apply : ToolCommand::Check;
    options.paths.assign(words.begin() + 1, words.end());
    if (options.paths.empty() && (!isApply || options.removals.empty())) {
        return usageError(words[0] + " needs at least one file");
    }
    if ((options.against || options.againstActive) && isApply) {
        return usageError("--against and --against-active belong to check");
    }
    if (options.against && options.againstActive) {
        return usageError("--against and --against-active exclude each other");
    }
    return {};
}

framework::Result<void> readOutCommand(const std::vector<std::string> &words, ToolOptions &options)
{
    if (words.size() != 3 || (words[1] != "out" && words[1] != "in")) {
        return usageError("expected: " + words[0] + " out|in NAME");
    }
    BOOST_LEAF_ASSIGN(options.target, readName(words[2]));
    options.command = words[0] == "zone" ? ToolCommand::SetZone : ToolCommand::SetHost;
    options.out = words[1] == "out";
    return {};
}

framework::Result<void> readDumpCommand(const std::vector<std::string> &words, ToolOptions &options)
{
    if (words.size() != 2) {
        return usageError("expected: dump ADDRESS:PORT");
    }
    options.command = ToolCommand::Dump;
    BOOST_LEAF_ASSIGN(options.dumpEndpoint, readEndpoint(words[1]));
    return {};
}

framework::Result<void> readCommand(const std::vector<std::string> &words, ToolOptions &options)
{
    if (words.empty()) {
        return usageError("no command");
    }
    if (words[0] == "apply" || words[0] == "check") {
        return readFileCommand(words, options);
    }
    if (words[0] == "zone" || words[0] == "host") {
        return readOutCommand(words, options);
    }
    if (words[0] == "dump") {
        return readDumpCommand(words, options);
    }
    if (words[0] == "status" && words.size() == 1) {
        options.command = ToolCommand::Status;
        return {};
    }
    return usageError("unknown command '" + words[0] + "'");
}

/// \return \p arguments as getopt wants them, after a program name
std::vector<char *> toArgv(std::vector<std::string> &arguments)
{
    static char program[] = "lavendertallyctl";
    std::vector<char *> argv = {program};
    for (std::string &argument : arguments) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    return argv;
}

} // namespace

framework::Result<ToolOptions> parseCommandLine(const std::vector<std::string> &arguments)
{
    std::vector<std::string> copies = arguments;
    std::vector<char *> argv = toArgv(copies);
    const int argc = static_cast<int>(argv.size()) - 1;
    ToolOptions options;
    // Zero makes glibc start afresh.
    optind = 0;
    opterr = 0;
    for (;;) {
        const int option = getopt_long(argc, argv.data(), ":hVje:t:o:b:r:", LongOptions, nullptr);
        if (option == -1) {
            break;
        }
        if (option == ':' || option == '?') {
            return usageError(std::string(option == ':' ? "missing value of " : "unknown option ")
                              + argv[optind - 1]);
        }
        BOOST_LEAF_CHECK(readOption(option, optarg != nullptr ? optarg : "", options));
        if (option == 'h' || option == 'V') {
            return options;
        }
    }
    BOOST_LEAF_CHECK(readCommand({argv.begin() + optind, argv.begin() + argc}, options));
    return options;
}

std::string helpText()
{
    return R"(Usage: lavendertallyctl [OPTIONS] COMMAND

Commands:
  apply FILE...           publish configuration files, all or none
  check FILE...           check a configuration: YAML files that together make up one, or JSON files
                          of the users' platform, of which each is a whole one
  zone out|in ZONE        take an availability zone out of service or bring it back
  host out|in HOST        take a host out of service or bring it back
  status                  show what is out, and the revision in force in each daemon
  dump ADDRESS:PORT       show the whole state of a daemon

Options:
  -e, --entry ADDRESS:PORT  daemon of role entry to talk to (default 127.0.0.1:8080)
  -j, --json                print JSON; also --output json
  -t, --timeout DURATION    time limit, retries included (default 10s)
  -o, --operation ID        repeat an earlier change whose outcome is unknown
  -b, --base REVISION       revision that the change is based on (default: the entry's)
  -r, --remove NAME         apply: also remove the file of this name; may be repeated
      --against FILE        check: also show differences from this file (JSON)
      --against-active      check: also show differences from the configuration in force at
                            --entry, the metrics address of a gateway
      --gateways N          check: gateways that share the limits of services (default 1)
  -h, --help                show this text
  -V, --version             show the version

Exit status: 0 done; 2 check found warnings only; 64 wrong usage; 65 invalid file or void change; 69 not applied because a
service does not answer, or outcome unknown.
)";
}

} // namespace lavendertally::operatortool
