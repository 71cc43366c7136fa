#pragma once

#include <memory>

namespace lavendertally::configuration {

class IConfigurationParser;
class ISettingsParser;

/// Makes the implementations of the configuration module.
class ConfigurationModule
{
public:
    static std::unique_ptr<IConfigurationParser> makeParser();
    static std::unique_ptr<ISettingsParser> makeSettingsParser();
};

} // namespace lavendertally::configuration
