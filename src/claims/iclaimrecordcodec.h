#pragma once

#include "claims/types/claimrecord.h"
#include "framework/result.h"

#include <string>
#include <string_view>

namespace lavendertally::claims {

/// Encodes and decodes claim records as texts of the log.
class IClaimRecordCodec
{
public:
    virtual ~IClaimRecordCodec() = default;

    /// \return text of the record, or ClaimError::InvalidUtf8
    virtual framework::Result<std::string> encode(const ClaimRecord &record) const = 0;

    /// \return the record, or ClaimError::MalformedRecord
    virtual framework::Result<ClaimRecord> decode(std::string_view text) const = 0;
};

} // namespace lavendertally::claims
