#pragma once

#include "framework/types/endpoint.h"
#include "framework/types/milliseconds.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lavendertally::framework {
class IEventLoop;
}

namespace lavendertally::standins {

class StandInServer;

/// Program of a stand-in: reads the command line, listens, runs until SIGTERM or SIGINT.
class StandInProgram
{
public:
    using MakeServer = std::function<std::unique_ptr<StandInServer>(framework::IEventLoop &)>;

    /// \param name name of the program
    explicit StandInProgram(std::string name);

    /// Adds an option with a value. The target must outlive the program.
    void addText(const std::string &option, const std::string &help, std::string &target);
    void addNumber(const std::string &option, const std::string &help, std::uint32_t &target);
    /// Takes a number of milliseconds, with or without `ms` after it.
    void addDuration(const std::string &option, const std::string &help,
                     framework::Milliseconds &target);
    /// Takes `on` or `off`.
    void addSwitch(const std::string &option, const std::string &help, bool &target);
    /// \param set takes the value; returns false if it is not valid
    void add(const std::string &option, const std::string &help,
             std::function<bool(const std::string &)> set);

    /// Runs the program.
    /// \param makeServer called once the options are read
    /// \return exit code: 0, 64 for a bad command line, 69 if it cannot listen
    int run(int argc, char **argv, const MakeServer &makeServer);

private:
    struct Option
    {
        std::string name;
        std::string help;
        std::function<bool(const std::string &)> set;
    };

    enum class Next
    {
        Run,
        Exit,
        Usage,
    };

    Next readOptions(int argc, char **argv);
    bool setEndpoint(const std::string &text);
    void printHelp() const;
    int serve(const MakeServer &makeServer) const;

    std::string m_name;
    framework::Endpoint m_endpoint{"127.0.0.1", 0};
    std::vector<Option> m_options;
};

} // namespace lavendertally::standins
