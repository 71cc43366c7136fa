#pragma once

#include "claims/types/claimrecord.h"
#include "framework/result.h"

#include <string>
#include <string_view>

namespace lavendertally::claims {

/// Form of claim records on the log.
class IClaimRecordCodec
{
public:
    virtual ~IClaimRecordCodec() = default;

    /// \return text for the log, or ClaimError::NotText
    virtual framework::Result<std::string> encode(const ClaimRecord &record) const = 0;

    /// \return the record, or ClaimError::MalformedRecord
    virtual framework::Result<ClaimRecord> decode(std::string_view text) const = 0;
};

} // namespace lavendertally::claims
