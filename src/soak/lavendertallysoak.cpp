#include "soak/internal/soakrun.h"

#include <getopt.h>

#include <filesystem>
#include <iostream>
#include <string>
#include <sysexits.h>
#include <unistd.h>

using namespace lavendertally;

namespace {

constexpr const char *HelpText =
    "Usage: lavendertallysoak [--seed N] [--count N] [--duration MS] [--gateways N] [--servers N]\n"
    "                         [--clients N] [--keep] [--rollouts]\n"
    "Runs real gateways against stand-ins, under load and random faults, and checks what they\n"
    "promise. Every third seed has planned work only.\n"
    "\n"
    "  --seed N        first seed; default 1\n"
    "  --count N       number of seeds; default 1\n"
    "  --duration MS   time in which faults happen; default 10000\n"
    "  --gateways N    default 3\n"
    "  --servers N     of each of four services; default 2\n"
    "  --clients N     default 12\n"
    "  --rollouts      new versions of services beside the faults\n"
    "  --keep          keep the logs of runs that passed too\n"
    "Exit codes: 0 all promises held, 1 some did not, 64 usage.\n";

constexpr std::uint64_t PlannedEach = 3;

struct Arguments
{
    soak::SoakOptions options;
    std::uint64_t count = 1;
    bool keep = false;
    bool help = false;
    bool invalid = false;
};

Arguments parseArguments(int argc, char **argv)
{
    static const option known[] = {{"seed", required_argument, nullptr, 's'},
                                   {"count", required_argument, nullptr, 'n'},
                                   {"duration", required_argument, nullptr, 'd'},
                                   {"gateways", required_argument, nullptr, 'g'},
                                   {"servers", required_argument, nullptr, 'b'},
                                   {"clients", required_argument, nullptr, 'c'},
                                   {"keep", no_argument, nullptr, 'k'},
                                   {"rollouts", no_argument, nullptr, 'r'},
                                   {"help", no_argument, nullptr, 'h'},
                                   {nullptr, 0, nullptr, 0}};
    Arguments arguments;
    const auto number = [] { return std::stoul(optarg); };
    for (int code = 0; (code = getopt_long(argc, argv, "", known, nullptr)) != -1;) {
        switch (code) {
        case 's':
            arguments.options.seed = number();
            break;
        case 'n':
            arguments.count = number();
            break;
        case 'd':
            arguments.options.duration =
                framework::Milliseconds(static_cast<std::int64_t>(number()));
            break;
        case 'g':
            arguments.options.gateways = number();
            break;
        case 'b':
            arguments.options.servers = number();
            break;
        case 'c':
            arguments.options.clients = number();
            break;
        case 'k':
            arguments.keep = true;
            break;
        case 'r':
            arguments.options.rollouts = true;
            break;
        case 'h':
            arguments.help = true;
            break;
        default:
            arguments.invalid = true;
        }
    }
    return arguments;
}

/// \return whether all promises held
bool runSeed(soak::SoakOptions options, std::uint64_t seed, bool keep)
{
    options.seed = seed;
    options.planned = seed % PlannedEach == 0;
    options.daemon =
        (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "lavendertallyd").string();
    const std::filesystem::path folder = std::filesystem::temp_directory_path()
        / ("lavendertally-soak-" + std::to_string(getpid()) + "-" + std::to_string(seed));
    std::filesystem::create_directories(folder);
    options.folder = folder.string();
    bool held = false;
    {
        soak::SoakRun run(options);
        const auto &violations = run.run();
        held = violations.empty();
        std::cout << (held ? "held:   " : "BROKEN: ") << run.summary() << std::endl;
        for (const std::string &violation : violations) {
            std::cout << "    " << violation << '\n';
        }
    }
    if (held && !keep) {
        std::filesystem::remove_all(folder);
    } else {
        std::cout << "    logs: " << options.folder << std::endl;
    }
    return held;
}

} // namespace

/// Runs the soak over a range of seeds.
int main(int argc, char **argv)
try {
    const Arguments arguments = parseArguments(argc, argv);
    if (arguments.help) {
        std::cout << HelpText;
        return EX_OK;
    }
    if (arguments.invalid) {
        std::cerr << HelpText;
        return EX_USAGE;
    }
    std::uint64_t broken = 0;
    const std::uint64_t first = arguments.options.seed;
    for (std::uint64_t seed = first; seed < first + arguments.count; ++seed) {
        broken += runSeed(arguments.options, seed, arguments.keep) ? 0 : 1;
    }
    std::cout << arguments.count - broken << " of " << arguments.count << " seeds held\n";
    return broken == 0 ? EX_OK : EXIT_FAILURE;
} catch (const std::exception &error) {
    std::cerr << "lavendertallysoak: " << error.what() << '\n';
    return EX_USAGE;
}
