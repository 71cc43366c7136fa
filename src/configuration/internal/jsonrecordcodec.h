#pragma once

#include "configuration/icontrolrecordcodec.h"

namespace lavendertally::configuration {

/// Encodes control records as JSON objects with the discriminator `type`.
class JsonRecordCodec final : public IControlRecordCodec
{
public:
    framework::Result<std::string> encode(const ControlRecordContent &content) const override;
    framework::Result<ControlRecordContent> decode(const std::string &data) const override;
};

} // namespace lavendertally::configuration
