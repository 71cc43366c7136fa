#pragma once

#include "framework/types/units.h"

#include <memory>

namespace lavendertally::configuration {

class IConfigurationParser;
class IConfigurationReplica;
class IControlRecordCodec;
class ISettingsParser;

/// Factory for the implementations of the interfaces of the configuration module.
class ConfigurationModule
{
public:
    static std::unique_ptr<IConfigurationParser> makeParser();
    static std::unique_ptr<ISettingsParser> makeSettingsParser();
    static std::unique_ptr<IControlRecordCodec> makeRecordCodec();

    /// \param recordBuffer limit in bytes on the records kept in memory for recordsSince()
    static std::unique_ptr<IConfigurationReplica>
    makeReplica(framework::Bytes recordBuffer = framework::Bytes(1024 * 1024));
};

} // namespace lavendertally::configuration
