#include "demo/internal/demorun.h"
#include "demo/internal/demousers.h"
#include "framework/frameworkmodule.h"
#include "framework/iclock.h"
#include "framework/ieventloop.h"

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sysexits.h>

using namespace lavendertally;

int main(int argc, char **argv)
{
    constexpr int ArgumentCount = 3;
    if (argc != ArgumentCount) {
        std::cerr << "Usage: lavendertallydemo REPOSITORY WORK_FOLDER\n";
        return EX_USAGE;
    }
    const std::string binaries = std::filesystem::absolute(argv[0]).parent_path().string();
    const auto clock = framework::FrameworkModule::makeSystemClock();
    const auto loop = framework::FrameworkModule::makeEventLoop();
    int failures = 0;
    for (const demo::DemoUser &user : demo::demoUsers()) {
        demo::DemoRun run(*loop, *clock, user, binaries, argv[1],
                          std::string(argv[2]) + "/" + user.zones.front().value());
        for (const std::string &failure : run.run()) {
            std::cerr << "FAILED: " << failure << '\n';
            ++failures;
        }
    }
    std::cout << (failures == 0 ? "\nall requests answered as they should be\n"
                                : "\nsome things were not as they should be\n");
    return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
