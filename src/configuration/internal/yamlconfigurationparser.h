#pragma once

#include "configuration/iconfigurationparser.h"

namespace lavendertally::configuration {

/// Parses configuration files written in YAML.
class YamlConfigurationParser final : public IConfigurationParser
{
public:
    framework::Result<Configuration>
    parse(const std::map<std::string, std::string> &files) const override;
    framework::Result<void>
    checkEachFile(const std::map<std::string, std::string> &files) const override;
};

} // namespace lavendertally::configuration
