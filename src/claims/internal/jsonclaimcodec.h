#pragma once

#include "claims/iclaimrecordcodec.h"

namespace lavendertally::claims {

/// Encodes each claim record as a JSON object.
class JsonClaimCodec final : public IClaimRecordCodec
{
public:
    framework::Result<std::string> encode(const ClaimRecord &record) const override;
    framework::Result<ClaimRecord> decode(std::string_view text) const override;
};

} // namespace lavendertally::claims
