#include "configuration/configurationmodule.h"
#include "configuration/isettingsparser.h"
#include "configuration/types/configurationerror.h"
#include "configuration/types/daemonsettings.h"
#include "configuration/types/filediagnostics.h"
#include "entry/entrymodule.h"
#include "framework/frameworkmodule.h"
#include "framework/idaemon.h"
#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "framework/types/errorcontext.h"
#include "gateway/gatewaymodule.h"
#include "host/hostmodule.h"

#include <getopt.h>
#include <malloc.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sysexits.h>

using namespace lavendertally;

namespace {

constexpr const char *HelpText =
    "Usage: lavendertallyd [--settings FILE] [--check]\n"
    "Runs one lavendertally daemon: a gateway, an entry, or one beside a backend server.\n"
    "\n"
    "  --settings FILE   settings file (YAML); default: the file named by LAVENDERTALLY_CONFIG\n"
    "  --check           check the settings file and exit\n"
    "  --help            show this text\n"
    "  --version         show the version\n"
    "\n"
    "SIGHUP reads the settings file again. SIGTERM and SIGINT finish what is under way and exit "
    "with 0; a SIGINT during that exits at once.\n"
    "Exit codes: 0 success, 64 usage, 69 unavailable, 78 bad settings.\n";

constexpr const char *SettingsVariable = "LAVENDERTALLY_CONFIG";

struct Options
{
    std::string settingsFile;
    bool check = false;
    bool help = false;
    bool version = false;
    bool invalid = false;
};

Options parseArguments(int argc, char **argv)
{
    static const option known[] = {{"settings", required_argument, nullptr, 's'},
                                   {"check", no_argument, nullptr, 'c'},
                                   {"help", no_argument, nullptr, 'h'},
                                   {"version", no_argument, nullptr, 'v'},
                                   {nullptr, 0, nullptr, 0}};
    Options options;
    if (const char *file = std::getenv(SettingsVariable)) {
        options.settingsFile = file;
    }
    for (int code = 0; (code = getopt_long(argc, argv, "", known, nullptr)) != -1;) {
        switch (code) {
        case 's':
            options.settingsFile = optarg;
            break;
        case 'c':
            options.check = true;
            break;
        case 'h':
            options.help = true;
            break;
        case 'v':
            options.version = true;
            break;
        default:
            options.invalid = true;
        }
    }
    const bool hasWork = !options.settingsFile.empty() || options.help || options.version;
    options.invalid = options.invalid || optind < argc || !hasWork;
    return options;
}

std::unique_ptr<framework::IDaemon> makeDaemon(const configuration::DaemonSettings &settings,
                                               framework::IEventLoop &loop)
{
    if (settings.role == configuration::DaemonRole::Entry) {
        return entry::EntryModule::makeDaemon(settings, loop);
    }
    if (settings.role == configuration::DaemonRole::Gateway) {
        return gateway::GatewayModule::makeDaemon(settings, loop);
    }
    return host::HostModule::makeDaemon(settings, loop);
}

/// Keeps the signals that a daemon handles pending while it has no handlers for them, since their
/// default action would end the process.
void setSignalsBlocked(bool blocked)
{
    sigset_t handled;
    sigemptyset(&handled);
    for (const int signal : {SIGHUP, SIGTERM, SIGINT}) {
        sigaddset(&handled, signal);
    }
    pthread_sigmask(blocked ? SIG_BLOCK : SIG_UNBLOCK, &handled, nullptr);
}

/// Drains on a signal to stop and reloads on SIGHUP. Supervisors may repeat SIGTERM, so only a
/// SIGINT cuts a drain short.
class SignalHandler
{
public:
    SignalHandler(framework::IDaemon &daemon, framework::IEventLoop &loop)
        : m_daemon(daemon), m_loop(loop)
    {
        m_handlers.push_back(loop.onSignal(SIGHUP, [this] { m_daemon.reload(); }));
        m_handlers.push_back(loop.onSignal(SIGTERM, [this] { shutDown(); }));
        m_handlers.push_back(loop.onSignal(SIGINT, [this] { interrupt(); }));
        setSignalsBlocked(false);
    }
    ~SignalHandler() { setSignalsBlocked(true); }
    SignalHandler(const SignalHandler &) = delete;
    SignalHandler &operator=(const SignalHandler &) = delete;

private:
    void shutDown()
    {
        if (m_draining) {
            return;
        }
        m_draining = true;
        m_daemon.drain([this] { m_loop.stop(); });
    }

    void interrupt()
    {
        if (m_draining) {
            std::_Exit(EXIT_FAILURE);
        }
        shutDown();
    }

    framework::IDaemon &m_daemon;
    framework::IEventLoop &m_loop;
    std::vector<std::unique_ptr<framework::ITimer>> m_handlers;
    bool m_draining = false;
};

/// Keeps the allocator from returning memory to the system, and taking it again, with each request
/// body. With its defaults, bodies of 200 KB took twice the processor time.
void keepFreedMemory()
{
    constexpr int MaxFreedAtTop = 2 * 1024 * 1024;
    constexpr int MaxInHeap = 8 * 1024 * 1024;
    mallopt(M_TRIM_THRESHOLD, MaxFreedAtTop);
    mallopt(M_MMAP_THRESHOLD, MaxInHeap);
}

framework::Result<configuration::DaemonSettings> readSettings(const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    if (!stream) {
        return framework::leaf::new_error(configuration::ConfigurationError::InvalidFile,
                                          framework::ErrorContext{file + ": cannot be read"});
    }
    const std::string text((std::istreambuf_iterator<char>(stream)), {});
    return configuration::ConfigurationModule::makeSettingsParser()->parse(file, text);
}

framework::Result<int> runDaemon(const Options &options)
{
    if (options.check) {
        setSignalsBlocked(false);
    }
    BOOST_LEAF_AUTO(settings, readSettings(options.settingsFile));
    if (options.check) {
        return EXIT_SUCCESS;
    }
    const auto loop = framework::FrameworkModule::makeEventLoop();
    const auto daemon = makeDaemon(settings, *loop);
    const SignalHandler signals(*daemon, *loop);
    BOOST_LEAF_CHECK(daemon->start());
    loop->run();
    return EXIT_SUCCESS;
}

int reportSettings(const configuration::FileDiagnostics &diagnostics)
{
    for (const configuration::FileDiagnostic &diagnostic : diagnostics.entries) {
        std::cerr << "lavendertallyd: " << diagnostic.toString() << '\n';
    }
    return EX_CONFIG;
}

int run(const Options &options)
{
    return framework::leaf::try_handle_all(
        [&] { return runDaemon(options); },
        [](configuration::ConfigurationError /*error*/,
           const configuration::FileDiagnostics &diagnostics) {
            return reportSettings(diagnostics);
        },
        [](configuration::ConfigurationError /*error*/, const framework::ErrorContext &context) {
            std::cerr << "lavendertallyd: " << context.message << '\n';
            return EX_CONFIG;
        },
        [](const framework::ErrorContext &context) {
            std::cerr << "lavendertallyd: " << context.message << '\n';
            return EX_UNAVAILABLE;
        },
        [] {
            std::cerr << "lavendertallyd: cannot start\n";
            return EX_UNAVAILABLE;
        });
}

} // namespace

int main(int argc, char **argv)
{
    setSignalsBlocked(true);
    keepFreedMemory();
    const Options options = parseArguments(argc, argv);
    if (options.invalid) {
        std::cerr << HelpText;
        return EX_USAGE;
    }
    if (options.help) {
        std::cout << HelpText;
        return EXIT_SUCCESS;
    }
    if (options.version) {
        std::cout << "lavendertallyd " << LAVENDERTALLY_VERSION << '\n';
        return EXIT_SUCCESS;
    }
    return run(options);
}
