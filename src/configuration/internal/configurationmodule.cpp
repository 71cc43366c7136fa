#include "configuration/configurationmodule.h"

#include "configuration/internal/yamlconfigurationparser.h"
#include "configuration/internal/yamlsettingsparser.h"

namespace lavendertally::configuration {

std::unique_ptr<IConfigurationParser> ConfigurationModule::makeParser()
{
    return std::make_unique<YamlConfigurationParser>();
}

std::unique_ptr<ISettingsParser> ConfigurationModule::makeSettingsParser()
{
    return std::make_unique<YamlSettingsParser>();
}

} // namespace lavendertally::configuration
