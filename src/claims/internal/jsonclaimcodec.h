#pragma once

#include "claims/iclaimrecordcodec.h"

namespace lavendertally::claims {

/// Claim records as JSON objects.
class JsonClaimCodec final : public IClaimRecordCodec
{
public:
    framework::Result<std::string> encode(const ClaimRecord &record) const override;
    framework::Result<ClaimRecord> decode(std::string_view text) const override;
};

} // namespace lavendertally::claims
