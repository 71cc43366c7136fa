#pragma once

#include "configuration/icontrolrecordcodec.h"

namespace lavendertally::configuration {

/// Control records as JSON objects, told apart by the member `type`.
class JsonRecordCodec final : public IControlRecordCodec
{
public:
    framework::Result<std::string> encode(const ControlRecordContent &content) const override;
    framework::Result<ControlRecordContent> decode(const std::string &data) const override;
};

} // namespace lavendertally::configuration
