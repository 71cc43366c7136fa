#pragma once

#include "framework/result.h"

#include <optional>
#include <string>
#include <string_view>

namespace lavendertally::protocol {

/// Cuts a byte stream into frames. A frame is a length of four bytes, most significant first, and
/// that many bytes.
class IFrameReader
{
public:
    virtual ~IFrameReader() = default;

    /// Adds bytes as they arrive.
    virtual void append(std::string_view bytes) = 0;

    /// \return the next complete frame, nothing when more bytes are needed, or
    /// ProtocolError::TooLarge, after which the stream cannot be read on
    virtual framework::Result<std::optional<std::string>> next() = 0;

    /// \return \p message as one frame
    static std::string frame(std::string_view message);
};

} // namespace lavendertally::protocol
