#pragma once

#include "configuration/isettingsparser.h"

namespace lavendertally::configuration {

/// Reads settings written in YAML.
class YamlSettingsParser final : public ISettingsParser
{
public:
    framework::Result<DaemonSettings> parse(const std::string &file,
                                            const std::string &text) const override;
};

} // namespace lavendertally::configuration
