#include "configuration/configurationmodule.h"

#include "configuration/internal/configurationreplica.h"
#include "configuration/internal/jsonrecordcodec.h"
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

std::unique_ptr<IControlRecordCodec> ConfigurationModule::makeRecordCodec()
{
    return std::make_unique<JsonRecordCodec>();
}

std::unique_ptr<IConfigurationReplica>
ConfigurationModule::makeReplica(framework::Bytes recordBuffer)
{
    return std::make_unique<ConfigurationReplica>(makeRecordCodec(), recordBuffer);
}

} // namespace lavendertally::configuration
