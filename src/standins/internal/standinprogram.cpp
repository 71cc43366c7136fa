#include "standins/standinprogram.h"

#include "framework/frameworkmodule.h"
#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "standins/standinserver.h"

#include <getopt.h>

#include <charconv>
#include <csignal>
#include <iostream>
#include <optional>
#include <string_view>

namespace lavendertally::standins {

namespace {

constexpr int ExitUsage = 64;
constexpr int ExitUnavailable = 69;
/// Values of the options that every stand-in has; the others count from zero.
constexpr int HelpOption = 1000;
constexpr int VersionOption = 1001;

template <typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

} // namespace

StandInProgram::StandInProgram(std::string name) : m_name(std::move(name))
{
    add("listen", "ADDRESS:PORT to listen on; port 0 lets the kernel choose",
        [this](const std::string &text) { return setEndpoint(text); });
}

void StandInProgram::addText(const std::string &option, const std::string &help,
                             std::string &target)
{
    add(option, help, [&target](const std::string &text) {
        target = text;
        return !text.empty();
    });
}

void StandInProgram::addNumber(const std::string &option, const std::string &help,
                               std::uint32_t &target)
{
    add(option, help, [&target](const std::string &text) {
        const auto value = parseNumber<std::uint32_t>(text);
        target = value.value_or(0);
        return value.has_value();
    });
}

void StandInProgram::addDuration(const std::string &option, const std::string &help,
                                 framework::Milliseconds &target)
{
    add(option, help, [&target](std::string_view text) {
        if (text.ends_with("ms")) {
            text.remove_suffix(2);
        }
        const auto value = parseNumber<std::uint32_t>(text);
        target = framework::Milliseconds(value.value_or(0));
        return value.has_value();
    });
}

void StandInProgram::addSwitch(const std::string &option, const std::string &help, bool &target)
{
    add(option, help, [&target](const std::string &text) {
        target = text == "on";
        return text == "on" || text == "off";
    });
}

void StandInProgram::add(const std::string &option, const std::string &help,
                         std::function<bool(const std::string &)> set)
{
    m_options.push_back({option, help, std::move(set)});
}

int StandInProgram::run(int argc, char **argv, const MakeServer &makeServer)
{
    switch (readOptions(argc, argv)) {
    case Next::Exit:
        return 0;
    case Next::Usage:
        std::cerr << "Try '" << m_name << " --help'.\n";
        return ExitUsage;
    case Next::Run:
        break;
    }
    return serve(makeServer);
}

StandInProgram::Next StandInProgram::readOptions(int argc, char **argv)
{
    std::vector<option> table;
    for (std::size_t i = 0; i < m_options.size(); ++i) {
        table.push_back(
            {m_options[i].name.c_str(), required_argument, nullptr, static_cast<int>(i)});
    }
    table.push_back({"help", no_argument, nullptr, HelpOption});
    table.push_back({"version", no_argument, nullptr, VersionOption});
    table.push_back({nullptr, 0, nullptr, 0});
    for (int chosen = 0; (chosen = getopt_long(argc, argv, "", table.data(), nullptr)) != -1;) {
        if (chosen == HelpOption) {
            printHelp();
            return Next::Exit;
        }
        if (chosen == VersionOption) {
            std::cout << m_name << " " << LAVENDERTALLY_VERSION << "\n";
            return Next::Exit;
        }
        if (chosen < 0 || chosen >= static_cast<int>(m_options.size())) {
            return Next::Usage;
        }
        if (!m_options[chosen].set(optarg)) {
            std::cerr << m_name << ": invalid value for --" << m_options[chosen].name << ": "
                      << optarg << "\n";
            return Next::Usage;
        }
    }
    return optind == argc ? Next::Run : Next::Usage;
}

bool StandInProgram::setEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return false;
    }
    const auto port = parseNumber<std::uint16_t>(std::string_view(text).substr(colon + 1));
    m_endpoint = {text.substr(0, colon), port.value_or(0)};
    return port.has_value();
}

void StandInProgram::printHelp() const
{
    std::cout << "Usage: " << m_name << " [OPTION...]\n";
    for (const Option &option : m_options) {
        std::cout << "  --" << option.name << " VALUE\n        " << option.help << "\n";
    }
    std::cout << "  --help\n  --version\n";
}

int StandInProgram::serve(const MakeServer &makeServer) const
{
    const auto loop = framework::FrameworkModule::makeEventLoop();
    const auto server = makeServer(*loop);
    const auto endpoint = server->listen(m_endpoint);
    if (!endpoint) {
        std::cerr << m_name << ": cannot listen on " << m_endpoint.toString() << "\n";
        return ExitUnavailable;
    }
    const auto onTerm = loop->onSignal(SIGTERM, [&] { loop->stop(); });
    const auto onInterrupt = loop->onSignal(SIGINT, [&] { loop->stop(); });
    std::cout << "listening " << endpoint->toString() << std::endl;
    loop->run();
    return 0;
}

} // namespace lavendertally::standins
